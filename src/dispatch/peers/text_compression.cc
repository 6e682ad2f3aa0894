#include "dispatch/peers/text_compression.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace dandelionscale::internal {
namespace {

constexpr int kCompressionLevel = 3;
// The window covers text and dictionary, each of several megabytes at most. A
// frame that asks for more memory is refused.
constexpr int kMinWindowLog = 10;
constexpr int kMaxWindowLog = 23;

struct ContextDeleter {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

int WindowLog(std::size_t bytes) {
  return std::clamp(static_cast<int>(std::bit_width(bytes)), kMinWindowLog,
                    kMaxWindowLog);
}

}  // namespace

std::string CompressText(std::string_view text, std::string_view dictionary) {
  const std::unique_ptr<ZSTD_CCtx, ContextDeleter> context(ZSTD_createCCtx());
  if (context == nullptr) return {};
  ZSTD_CCtx* const raw = context.get();
  const std::size_t total = text.size() + dictionary.size();
  ZSTD_CCtx_setParameter(raw, ZSTD_c_compressionLevel, kCompressionLevel);
  ZSTD_CCtx_setParameter(raw, ZSTD_c_windowLog, WindowLog(total));
  // Finds the long matches in a dictionary that is as large as the text.
  ZSTD_CCtx_setParameter(raw, ZSTD_c_enableLongDistanceMatching, 1);
  ZSTD_CCtx_refPrefix(raw, dictionary.data(), dictionary.size());
  std::string frame(ZSTD_compressBound(text.size()), '\0');
  const std::size_t size =
      ZSTD_compress2(raw, frame.data(), frame.size(), text.data(), text.size());
  frame.resize(ZSTD_isError(size) != 0 ? 0 : size);
  return frame;
}

Result<std::string> DecompressText(std::string_view frame,
                                   std::string_view dictionary,
                                   std::size_t max_bytes) {
  const unsigned long long stated =
      ZSTD_getFrameContentSize(frame.data(), frame.size());
  if (stated == ZSTD_CONTENTSIZE_ERROR || stated == ZSTD_CONTENTSIZE_UNKNOWN) {
    return Fault{FaultKind::kMalformedMessage, "no frame with a size"};
  }
  if (stated > max_bytes) {
    return Fault{FaultKind::kMessageTooLarge, "text is too large"};
  }
  const std::unique_ptr<ZSTD_DCtx, ContextDeleter> context(ZSTD_createDCtx());
  if (context == nullptr) {
    return Fault{FaultKind::kMalformedMessage, "no memory"};
  }
  ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, kMaxWindowLog);
  ZSTD_DCtx_refPrefix(context.get(), dictionary.data(), dictionary.size());
  std::string text(static_cast<std::size_t>(stated), '\0');
  const std::size_t size = ZSTD_decompressDCtx(
      context.get(), text.data(), text.size(), frame.data(), frame.size());
  if (ZSTD_isError(size) != 0) {
    return Fault{FaultKind::kMalformedMessage, ZSTD_getErrorName(size)};
  }
  if (size != text.size()) {
    return Fault{FaultKind::kMalformedMessage, "the stated size is wrong"};
  }
  return text;
}

}  // namespace dandelionscale::internal
