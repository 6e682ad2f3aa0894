/// \file
/// \brief What the review's scripts share: a small deployment on loopback with
///        the product's routers as processes, and stand-ins for the store, the
///        engines and the clients.
#ifndef DANDELIONSCALE_REVIEW_COMMON_SITE_H_
#define DANDELIONSCALE_REVIEW_COMMON_SITE_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../../emulator/scripted_engine.h"
#include "../../emulator/store_service.h"

namespace dandelionscale::review {

/// \brief Exit codes of a script.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

/// \brief A request as it reached an engine.
struct Arrival {
  std::string id;
  std::string engine;
  TimePoint at;
};

/// \brief What a client sends.
struct ClientCall {
  std::string id;
  std::string target;
  std::string headers;  ///< Further header lines, each with its line end.
  std::string body;
  int deadline_ms = 3000;
  bool chunked = false;
  /// Time over which the body is sent, in equal pieces.
  Duration upload_time{};
  /// The client closes its connection then; never if zero.
  Duration leave_after{};
};

/// \brief What a client sees.
struct ClientAnswer {
  unsigned status = 0;  ///< 0: no head of an answer arrived.
  bool is_whole = false;
  std::string body;  ///< With the framing of chunks.
  TimePoint all_sent_at{};
  TimePoint ended_at{};
};

/// \brief A deployment: store, engines and routers.
class Site {
 public:
  struct Options {
    int routers = 2;
    std::string folder;  ///< For settings and logs.
    int memory_mb = 260;
  };

  Site(boost::asio::io_context& loop, Options options);
  /// \brief Kills the routers.
  ~Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  /// \brief Finds free addresses, starts the store and writes a configuration.
  bool Start();
  /// \brief Starts an engine and writes its entry. It answers 421 to a request
  ///        that is meant for another one.
  void AddEngine(const std::string& id, const std::string& service,
                 emulator::ScriptMaker work);
  /// \brief Removes the entry of an engine, which goes on serving.
  void RemoveEntry(const std::string& id);
  /// \brief The engine's process ends: its connections are reset.
  void EndEngine(const std::string& id);
  /// \brief An engine that has ended starts again under its id, at its address,
  ///        with another version of its software; its entry is not written yet.
  bool RestartEngine(const std::string& id, emulator::ScriptMaker work);
  /// \brief Writes the entry of an engine.
  void WriteEntry(const std::string& id, const std::string& version);

  bool StartRouter(int router);
  void Signal(int router, int signal);
  /// \returns true once the process has ended.
  bool HasEnded(int router);
  /// \returns resident memory in MB; 0 if the process has ended.
  int MemoryMb(int router) const;
  Awaitable<bool> WaitUntilReady(int router);
  /// \returns the value of a metric, or -1.
  Awaitable<double> Metric(int router, std::string name);

  Awaitable<ClientAnswer> Send(int router, ClientCall call);

  /// \brief Appends a line to the record, with the time since the start.
  void Record(const std::string& line);
  const std::vector<Arrival>& Arrivals() const { return this->arrivals; }
  int Routers() const { return this->options.routers; }

 private:
  struct RegisteredEngine {
    std::string service;
    std::uint16_t port = 0;
    std::int64_t born_unix_ms = 1'790'000'000'000;
    std::unique_ptr<emulator::ScriptedEngine> engine;
  };

  emulator::ScriptMaker MakeMaker(const std::string& id,
                                  emulator::ScriptMaker work);
  std::string Ip(int router) const;
  bool IsSubnetFree() const;
  std::string SettingsPath(int router) const;

  boost::asio::io_context& loop;
  Options options;
  TimePoint started_at;
  int subnet = 0;
  std::uint16_t store_port = 0;
  emulator::StoreService store;
  std::map<std::string, RegisteredEngine> engines;
  std::map<int, pid_t> processes;
  std::vector<Arrival> arrivals;
  std::string record_path;
};

/// \brief Runs a case: starts a site, plays it and tells the outcome.
/// \param play is told whether the disruption is wanted (TROUBLE is not 0).
/// \returns the exit code of the script.
int RunCase(Site::Options options,
            const std::function<Awaitable<int>(Site&, bool)>& play);

/// \brief A stream of `events` events, one each `interval`.
emulator::Script MakeStream(const HttpRequest& request, int events,
                            Duration interval);
/// \brief An answer after `work`.
emulator::Script MakePlainAnswer(const HttpRequest& request, Duration work);

}  // namespace dandelionscale::review

#endif  // DANDELIONSCALE_REVIEW_COMMON_SITE_H_
