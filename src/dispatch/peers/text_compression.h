/// \file
/// \brief Compression of a text that resembles one which both sides have.
#ifndef DANDELIONSCALE_SRC_DISPATCH_PEERS_TEXT_COMPRESSION_H_
#define DANDELIONSCALE_SRC_DISPATCH_PEERS_TEXT_COMPRESSION_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "dandelionscale/runtime/fault.h"

namespace dandelionscale::internal {

/// \brief Compresses `text` to a Zstandard frame (RFC 8878) whose dictionary is
///        the raw content of `dictionary`, as in RFC 9842.
/// \param dictionary may be empty.
/// \returns the frame, which states the size of the text; empty if that fails.
std::string CompressText(std::string_view text, std::string_view dictionary);

/// \brief Decompresses what `CompressText()` has returned.
/// \param dictionary the same as for the compression.
/// \param max_bytes limit of the text; nothing larger is allocated.
/// \returns the text; fault: `kMalformedMessage`, `kMessageTooLarge`.
Result<std::string> DecompressText(std::string_view frame,
                                   std::string_view dictionary,
                                   std::size_t max_bytes);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_PEERS_TEXT_COMPRESSION_H_
