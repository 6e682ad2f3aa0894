/// \file
/// \brief A client's connection to a router, for tests that decide when bytes
///        are sent and read.
#ifndef DANDELIONSCALE_TESTS_SUPPORT_TEST_CLIENT_H_
#define DANDELIONSCALE_TESTS_SUPPORT_TEST_CLIENT_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <string_view>

#include "tests/support/platform_fleet.h"

namespace dandelionscale::tests {

/// \brief Sends bytes and reads what comes back, on one connection.
class TestClient {
 public:
  explicit TestClient(const PlatformFleet& fleet, int router = 1)
      : socket(this->loop) {
    this->socket.connect(fleet.ClientEndpoint(router));
  }

  void Send(std::string_view bytes) {
    boost::system::error_code ended;
    boost::asio::write(this->socket, boost::asio::buffer(bytes), ended);
  }
  /// \brief Sends no more, but still reads.
  void CloseSending() {
    boost::system::error_code ended;
    this->socket.shutdown(boost::asio::socket_base::shutdown_send, ended);
  }
  /// \returns all bytes until `end` has arrived or the connection has ended.
  std::string ReadUntil(std::string_view end) {
    return this->ReadWhile([end](const std::string& text) {
      return end.empty() || text.find(end) == std::string::npos;
    });
  }
  /// \returns all bytes until the connection has ended.
  std::string ReadAll() { return this->ReadUntil(""); }
  /// \returns all bytes until `lacks_bytes`, called with those read so far,
  ///          returns false or the connection has ended.
  template <typename Condition>
  std::string ReadWhile(Condition lacks_bytes) {
    std::string text;
    boost::system::error_code ended;
    std::array<char, 4096> buffer{};
    while (!ended && lacks_bytes(text)) {
      const auto size =
          this->socket.read_some(boost::asio::buffer(buffer), ended);
      text.append(buffer.data(), size);
    }
    return text;
  }

 private:
  boost::asio::io_context loop;
  boost::asio::ip::tcp::socket socket;
};

}  // namespace dandelionscale::tests

#endif  // DANDELIONSCALE_TESTS_SUPPORT_TEST_CLIENT_H_
