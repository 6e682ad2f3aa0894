// Router 1 reaches no engine and serves its clients over router 2: what each
// side of a tunnel must see of the end of the other one.
#include <fmt/format.h>
#include <signal.h>

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

#include "tests/support/platform_fleet.h"
#include "tests/support/process_fleet.h"

namespace dandelionscale::tests {
namespace {

namespace asio = boost::asio;
using emulator::CloseConnection;
using emulator::CutKind;
using emulator::MakeEventChunk;
using emulator::MakeResponse;
using emulator::MakeStreamHead;
using emulator::Pause;
using emulator::ResetConnection;
using emulator::Script;
using emulator::ScriptStep;
using emulator::SendBytes;
using emulator::SendEndlessly;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kReadIdleTimeout(30);
constexpr milliseconds kWorkTime(800);
constexpr milliseconds kKillTime(300);
// The second port of the routers' range; see `PlatformFleet`.
constexpr std::uint16_t kTunnelPort = 18341;

std::string UnframedHead(const HttpRequest& request) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Seal: seal\r\n\r\n",
      request.headers.Find("Request-Id"));
}

struct Fleet : PlatformFleet {
  explicit Fleet(const std::vector<int>& cut_routers = {1}) : PlatformFleet(2) {
    this->PutConfiguration(3);
    for (const char* service : {"chat", "plain"}) {
      this->AddEngine(service, [](const HttpRequest& request) -> Script {
        return {SendBytes{MakeResponse(request, 200, "whole")}};
      });
    }
    for (int n = 1; n <= 2; ++n) this->WaitUntilReady(n);
    for (int n = 1; n <= 2; ++n) {
      Eventually([&] { return Occurrences(this->Log(n), "peer_heard") > 0; });
    }
    this->CutOff(cut_routers, CutKind::kHang);
    for (int router : cut_routers) this->WaitUntilCutOff(router);
  }

  void WaitUntilCutOff(int router) {
    constexpr int kServices = 2;
    Eventually([&] {
      this->Send(router, "/once/");
      return Occurrences(this->Log(router), "\"reachability_lost\"") >=
             kServices;
    });
  }

  void SetScripts(const emulator::ScriptMaker& maker) {
    for (int n = 0; n < 2; ++n) this->SetScript(n, maker);
  }

  std::string Send(int router, const std::string& target) {
    const std::string id = fmt::format("id{}", ++this->sent);
    return this->Exchange(
        router, MakeClientRequest("POST", target, id, "", "body of " + id),
        kReadIdleTimeout);
  }

  // Kills router 2 while its tunnel carries the request.
  std::string SendAndKillCarrier(const std::string& target) {
    auto response = std::async(
        std::launch::async, [this, target] { return this->Send(1, target); });
    std::this_thread::sleep_for(kKillTime);
    this->Signal(2, SIGKILL);
    return response.get();
  }

  std::size_t RequestsWith(const std::string& id) {
    std::size_t count = 0;
    for (int engine = 0; engine < 2; ++engine) {
      for (const HttpRequest& request : this->Requests(engine)) {
        if (request.headers.Find("Request-Id") == id) ++count;
      }
    }
    return count;
  }

  std::string LastId() const { return fmt::format("id{}", this->sent); }

  std::atomic<int> sent = 0;
};

TEST_CASE("requests of each kind are answered over a tunnel",
          "[mixed_builds]") {
  Fleet fleet;
  CHECK(fleet.Send(1, "/once/").ends_with("whole"));
  CHECK(fleet.Send(1, "/any/").ends_with("whole"));
  fleet.SetScripts([](const HttpRequest& request) -> Script {
    return {SendBytes{MakeStreamHead(request) + MakeEventChunk(1) +
                      std::string(emulator::kStreamEnd)}};
  });
  CHECK(fleet.Send(1, "/stream/").ends_with(kLastChunk));
  // Logs are written with a delay.
  Eventually([&] {
    return Occurrences(fleet.Log(2), "\"tunnel_carried\"") >= 3 &&
           Occurrences(fleet.Log(1), "\"tunnel_opened\"") >= 3;
  });
}

TEST_CASE("an unframed body is whole only if the engine has closed in order") {
  Fleet fleet;
  for (const ScriptStep& end :
       {ScriptStep(CloseConnection{}), ScriptStep(ResetConnection{})}) {
    const bool in_order = std::holds_alternative<CloseConnection>(end);
    fleet.SetScripts([&](const HttpRequest& request) -> Script {
      return {SendBytes{UnframedHead(request) + "whole"}, Pause{kKillTime},
              end};
    });
    const std::string response = fleet.Send(1, "/once/");
    CAPTURE(response, in_order);
    CHECK(response.starts_with("HTTP/1.1 200") == in_order);
    CHECK(response.ends_with("whole") == in_order);
  }
}

TEST_CASE("an unframed body is not whole if its carrier is killed") {
  Fleet fleet;
  fleet.SetScripts([](const HttpRequest& request) -> Script {
    return {SendBytes{UnframedHead(request) + "part"}, Pause{kWorkTime},
            SendBytes{"rest"}, CloseConnection{}};
  });
  const std::string response = fleet.SendAndKillCarrier("/once/");
  CAPTURE(response);
  CHECK_FALSE(response.starts_with("HTTP/1.1 200"));
}

TEST_CASE(
    "a request whose carrier is killed may have run and is not repeated") {
  Fleet fleet;
  fleet.SetScripts([](const HttpRequest& request) -> Script {
    return {Pause{kWorkTime}, SendBytes{MakeResponse(request, 200, "whole")}};
  });
  const std::string response = fleet.SendAndKillCarrier("/once/");
  CAPTURE(response);
  CHECK(response.starts_with("HTTP/1.1 502"));
  CHECK(fleet.RequestsWith(fleet.LastId()) == 1);
}

TEST_CASE("a stream whose carrier is killed does not look complete",
          "[mixed_builds]") {
  Fleet fleet;
  fleet.SetScripts([](const HttpRequest& request) -> Script {
    return {SendBytes{MakeStreamHead(request) + MakeEventChunk(1)},
            Pause{kWorkTime}, SendBytes{std::string(emulator::kStreamEnd)}};
  });
  const std::string response = fleet.SendAndKillCarrier("/stream/");
  CAPTURE(response);
  CHECK(response.find("data: piece 1") != std::string::npos);
  CHECK_FALSE(response.ends_with(kLastChunk));
}

TEST_CASE("an error does not go on with a stream over a tunnel") {
  Fleet fleet;
  fleet.SetScripts([](const HttpRequest& request) -> Script {
    if (request.headers.Find("Last-Event-Id").empty()) {
      return {SendBytes{MakeStreamHead(request) + MakeEventChunk(1)},
              CloseConnection{}};
    }
    return {SendBytes{MakeResponse(request, 500, "error-text")}};
  });
  const std::string response = fleet.Send(1, "/stream/");
  CAPTURE(response);
  CHECK(response.find("data: piece 1") != std::string::npos);
  CHECK(response.find("error-text") == std::string::npos);
  CHECK_FALSE(response.ends_with(kLastChunk));
}

TEST_CASE("a client's close reaches the engine over a tunnel") {
  Fleet fleet;
  fleet.SetScripts([](const HttpRequest& request) -> Script {
    return {SendBytes{MakeStreamHead(request)},
            SendEndlessly{MakeEventChunk(1), milliseconds(20)}};
  });
  fleet.SendAndDisconnect(
      1, MakeClientRequest("POST", "/stream/", "gone", "", "x"));
  const auto left_at = steady_clock::now();
  const auto abandoned = [&] {
    int count = 0;
    fleet.RunOnLoop([&] { count = fleet.Engine(0).AbandonedResponses(); });
    return count;
  };
  Eventually([&] { return abandoned() >= 1; });
  CHECK(steady_clock::now() - left_at < milliseconds(2000));
}

TEST_CASE("a pause that an engine asks for over a tunnel binds the carrier",
          "[mixed_builds]") {
  Fleet fleet;
  fleet.SetScripts([](const HttpRequest& request) -> Script {
    return {SendBytes{MakeResponse(request, 503, "",
                                   "Not-Executed: 1\r\nRetry-After: 3\r\n")}};
  });
  CHECK(fleet.Send(1, "/once/").starts_with("HTTP/1.1 503"));
  const std::size_t reached = fleet.TotalRequests();
  // Digests are sent within this time.
  std::this_thread::sleep_for(milliseconds(400));
  CHECK(fleet.Send(2, "/once/").starts_with("HTTP/1.1 503"));
  CHECK(fleet.TotalRequests() == reached);
}

TEST_CASE("if nobody reaches the engines, requests are rejected at once") {
  Fleet fleet({1, 2});
  const auto sent_at = steady_clock::now();
  const std::string response = fleet.Send(1, "/once/");
  CAPTURE(response);
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(response.find("Retry-After") != std::string::npos);
  CHECK(steady_clock::now() - sent_at < milliseconds(1500));
}

TEST_CASE("only routers of the fleet are carried") {
  Fleet fleet;
  asio::io_context client;
  asio::ip::tcp::socket socket(client);
  const auto carrier = fleet.ClientEndpoint(2).address();
  socket.connect({carrier, kTunnelPort});
  asio::write(
      socket,
      asio::buffer(std::string("CONNECT 1 HTTP/1.1\r\nTunnel-Id: t\r\n\r\n")));
  std::string text(512, '\0');
  boost::system::error_code error;
  text.resize(socket.read_some(asio::buffer(text), error));
  CHECK(text.starts_with("HTTP/1.1 503"));
  CHECK(text.find("not_listed") != std::string::npos);
}

}  // namespace
}  // namespace dandelionscale::tests
