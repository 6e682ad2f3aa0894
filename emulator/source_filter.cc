#include "source_filter.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <vector>

namespace dandelionscale::emulator {
namespace {

// Offset of the source address in an IPv4 header.
constexpr std::uint32_t kSourceAddressOffset = 12;
// Results of a filter program: the length of the segment that is kept.
constexpr std::uint32_t kKeepAll = 0xffffffff;
constexpr std::uint32_t kDrop = 0;

}  // namespace

bool DropFrom(int socket,
              std::span<const boost::asio::ip::address_v4> sources) {
  if (sources.empty()) {
    const int unused = 0;
    ::setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
    return true;
  }
  std::vector<sock_filter> program;
  program.push_back(
      BPF_STMT(BPF_LD | BPF_W | BPF_ABS,
               static_cast<std::uint32_t>(SKF_NET_OFF) + kSourceAddressOffset));
  for (const auto& source : sources) {
    // Skips the next instruction unless the address is equal.
    program.push_back(
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, source.to_uint(), 0, 1));
    program.push_back(BPF_STMT(BPF_RET | BPF_K, kDrop));
  }
  program.push_back(BPF_STMT(BPF_RET | BPF_K, kKeepAll));
  const sock_fprog filter = {static_cast<unsigned short>(program.size()),
                             program.data()};
  return ::setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &filter,
                      sizeof(filter)) == 0;
}

}  // namespace dandelionscale::emulator
