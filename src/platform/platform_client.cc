#include "dandelionscale/platform/platform_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <deque>

#include "dandelionscale/runtime/event.h"
#include "dandelionscale/transport/http_client.h"

namespace dandelionscale {
namespace {

constexpr std::size_t kMaxBatchOperations = 128;
constexpr std::size_t kMaxBatchesInFlight = 2;
constexpr Duration kBatchTimeout = std::chrono::milliseconds(1500);
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusUnavailable = 503;

/// \brief One submitted operation; `result` is set when its batch ends.
struct Pending {
  Pending(TableOperation operation, const boost::asio::any_io_executor& ex)
      : operation(std::move(operation)), done(ex) {}
  TableOperation operation;
  Event done;
  std::optional<Result<TableResult>> result;
  // The operation is in a batch that may have been sent.
  bool batched = false;
};

}  // namespace

struct PlatformClient::State
    : std::enable_shared_from_this<PlatformClient::State> {
  State(boost::asio::any_io_executor executor, Endpoint endpoint,
        ByteCounters* counters)
      : executor(executor), endpoint(endpoint), http(executor, counters) {}

  boost::asio::any_io_executor executor;
  Endpoint endpoint;
  HttpClient http;
  std::deque<std::shared_ptr<Pending>> queue;
  std::size_t batches_in_flight = 0;

  Awaitable<Result<HttpResponse>> Fetch(HttpRequest request, Duration timeout) {
    auto response = co_await this->http.Fetch(
        this->endpoint, std::move(request), ConnectionUse::kReuse, timeout);
    if (response.has_error()) co_return response.error();
    if (response.value().status == kStatusUnavailable) {
      co_return Fault{FaultKind::kNotSent, "platform unavailable"};
    }
    if (response.value().status != kStatusOk) {
      co_return Fault{FaultKind::kUnexpectedStatus, "platform"};
    }
    co_return response;
  }

  Awaitable<Result<std::vector<TableResult>>> Batch(
      std::vector<TableOperation> operations, Duration timeout) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/table/batch";
    request.body = SerializeOperations(operations);
    auto response = co_await this->Fetch(std::move(request), timeout);
    if (response.has_error()) co_return response.error();
    std::vector<TableResult> results;
    if (!ParseResults(response.value().body, results) ||
        results.size() != operations.size()) {
      co_return Fault{FaultKind::kMalformedMessage, "table batch response"};
    }
    co_return results;
  }

  // Sends batches until the queue is empty.
  Awaitable<void> Flush() {
    auto self = this->shared_from_this();
    ++this->batches_in_flight;
    while (!this->queue.empty()) {
      std::vector<std::shared_ptr<Pending>> batched;
      std::vector<TableOperation> operations;
      while (!this->queue.empty() && batched.size() < kMaxBatchOperations) {
        batched.push_back(this->queue.front());
        this->queue.pop_front();
        batched.back()->batched = true;
        operations.push_back(batched.back()->operation);
      }
      auto results = co_await this->Batch(std::move(operations), kBatchTimeout);
      for (std::size_t i = 0; i < batched.size(); ++i) {
        if (results.has_error()) {
          batched[i]->result.emplace(results.error());
        } else {
          batched[i]->result.emplace(results.value()[i]);
        }
        batched[i]->done.NotifyAll();
      }
    }
    --this->batches_in_flight;
  }
};

PlatformClient::PlatformClient(boost::asio::any_io_executor executor,
                               Endpoint endpoint, ByteCounters* counters)
    : state(std::make_shared<State>(executor, endpoint, counters)) {}

PlatformClient::~PlatformClient() = default;

Awaitable<Result<std::vector<TableResult>>> PlatformClient::Batch(
    std::vector<TableOperation> operations, Duration timeout) {
  auto state = this->state;
  co_return co_await state->Batch(std::move(operations), timeout);
}

Awaitable<Result<TableResult>> PlatformClient::Submit(TableOperation operation,
                                                      Duration timeout) {
  auto state = this->state;
  auto pending =
      std::make_shared<Pending>(std::move(operation), state->executor);
  state->queue.push_back(pending);
  if (state->batches_in_flight < kMaxBatchesInFlight) {
    boost::asio::co_spawn(state->executor, state->Flush(),
                          boost::asio::detached);
  }
  const TimePoint deadline = RuntimeClock::now() + timeout;
  while (!pending->result && RuntimeClock::now() < deadline) {
    co_await pending->done.WaitFor(deadline - RuntimeClock::now());
  }
  if (pending->result) co_return *pending->result;
  if (!pending->batched) {
    std::erase(state->queue, pending);
    co_return Fault{FaultKind::kNotSent,
                    "timed out before the platform batch was sent"};
  }
  co_return Fault{FaultKind::kTimeout,
                  "timed out waiting for the platform response"};
}

Awaitable<Result<HostList>> PlatformClient::Hosts(std::uint64_t since,
                                                  Duration timeout) {
  auto state = this->state;
  HttpRequest request;
  request.method = "GET";
  request.target = "/v1/hosts?since=" + std::to_string(since);
  auto response = co_await state->Fetch(std::move(request), timeout);
  if (response.has_error()) co_return response.error();
  HostList list;
  try {
    auto document = boost::json::parse(response.value().body);
    list.revision = document.at("revision").to_number<std::uint64_t>();
    for (const auto& entry : document.at("hosts").as_array()) {
      list.hosts.push_back(
          {boost::json::value_to<std::string>(entry.at("name")),
           entry.at("incarnation").to_number<std::uint64_t>(),
           entry.at("state").as_string() == "leaving"});
    }
  } catch (const std::exception&) {
    co_return Fault{FaultKind::kMalformedMessage, "host list"};
  }
  co_return list;
}

}  // namespace dandelionscale
