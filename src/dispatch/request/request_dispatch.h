/// \file
/// \brief Handling of one client request from its arrival to its response.
#ifndef DANDELIONSCALE_SRC_DISPATCH_REQUEST_REQUEST_DISPATCH_H_
#define DANDELIONSCALE_SRC_DISPATCH_REQUEST_REQUEST_DISPATCH_H_

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "dandelionscale/core/attempt_policy.h"
#include "dandelionscale/core/load/placement.h"
#include "dandelionscale/core/load/service_times.h"
#include "dandelionscale/core/silence_policy.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/request/answer_beginning.h"
#include "dispatch/request/client_connection.h"
#include "dispatch/request/engine_exchange.h"
#include "dispatch/request/placement_planner.h"
#include "dispatch/request/request_admission.h"
#include "engine_response/event_splitter.h"
#include "engine_response/stream_end.h"
#include "engine_response/unframed_body.h"

namespace dandelionscale::internal {

class EngineConnector;
struct BackupSend;

/// An engine that enforces the deadline itself responds at the deadline; this
/// time allows for the transfer of that response.
inline constexpr Duration kDeadlineGrace = std::chrono::milliseconds(60);
/// Of an id that a client has chosen, in a log line.
inline constexpr std::size_t kMaxLoggedIdBytes = 64;

/// \brief Admits one request, chooses an engine, sends the request, retries it
/// after failures and relays the response.
///
/// The implementation is divided into `request_dispatch.cc` (attempts),
/// `request_placement.cc` (permits, placement and waiting; `PlacementPlanner`
/// chooses the engine),
/// `request_silence.cc` (engines that send nothing), `request_backup.cc` (a
/// second send meanwhile), `response_relay.cc` and `request_ending.cc` (final
/// responses).
class RequestDispatch : public std::enable_shared_from_this<RequestDispatch> {
 public:
  RequestDispatch(DispatchState& state, EngineConnector& connector,
                  ClientConnection& client, HttpRequest request);
  ~RequestDispatch();
  RequestDispatch(const RequestDispatch&) = delete;
  RequestDispatch& operator=(const RequestDispatch&) = delete;

  /// \brief Runs until the final response is sent or the client disconnects.
  Awaitable<void> Run();
  /// \brief Applies the route's timeout in a new routing table.
  void OnRoutingTableChanged(const RoutingTable& new_table);
  /// \brief Ends the request with a response before the router ends.
  void OnShutdown();

 private:
  // Why the current attempt or wait was cancelled.
  enum class Interruption {
    kNone,
    kClientGone,
    kDeadline,
    kStalled  ///< The engine sent nothing for too long.
  };

  Awaitable<void> WaitForConfiguration();
  // Checks route, key and request id and chooses the service. Sends the error
  // response and returns false if the request isn't admitted.
  Awaitable<bool> Admit();
  // For a stream that began in an earlier request: finds out at which software
  // version, and refuses the request if nobody knows. Returns false if the
  // final response was sent.
  Awaitable<bool> ResolveOrigin();
  struct Origin;
  Awaitable<Origin> FindOrigin(std::uint64_t stream_key);
  // The version of all streams of the service, if there is only one.
  Origin FindOnlyVersion() const;
  Awaitable<void> RefuseResumption(std::string_view reason);
  // The first events of a stream are sent to the client.
  void OnStreamBegun();
  bool IsResumption() const { return !this->decoded.resume_after.empty(); }
  // Chooses an engine, waiting for capacity if necessary. Sends the final
  // response and returns null if there is none.
  Awaitable<std::shared_ptr<Engine>> Place();
  // Chooses an engine that has room; asks for a permit if it limits its rate.
  // Returns null if there is none.
  Awaitable<std::shared_ptr<Engine>> TryPlace();
  // Chooses an engine that has room, and adapts the share of the service's
  // requests that leave the zone.
  std::optional<PlacementPlan> PlanPlacement(const PlacementLimits& limits);
  // What the placement of the request depends on.
  PlacementRequest Placement() const;
  // Decides on the state as it is now.
  PlacementPlanner Planner() const;
  void OnPlaced(const PlacementPlan& plan);
  // Waits in the admission queue of the service for an engine with capacity.
  Awaitable<std::shared_ptr<Engine>> WaitForEngine();
  void LogWait(std::string_view event, const WaitInputs& inputs) const;
  // Returns true if such requests crash engines and the request may
  // not be sent as a probe.
  bool IsQuarantined();
  // Sends the final response if there is no engine to wait for.
  Awaitable<void> FinishWithoutEngine();
  // Sends the final response if no engine can be chosen.
  Awaitable<void> FinishUnplaced(std::string_view reason);

  // Sends the request to the engine and relays the response.
  Awaitable<std::optional<AttemptFailure>> Attempt(
      std::shared_ptr<Engine> engine);
  // Sends the request on a connection of its own and waits for the head.
  Awaitable<std::optional<AttemptFailure>> OpenExchange(
      std::shared_ptr<Engine> engine);
  HttpHeaders EncodeHeaders(const Engine& engine) const;
  // Returns the failure if the head says that the response is no answer.
  static std::optional<AttemptFailure> FailureOfHead(
      const EngineResponse& response);
  // Returns true if the response is the event stream that the route promises.
  bool IsStreamAnswer(const EngineExchange& answer) const;
  Awaitable<std::optional<AttemptFailure>> RelayResponse();
  Awaitable<std::optional<AttemptFailure>> RelayBufferedResponse();
  // Cuts off another response that begins in a body that ends with the
  // connection. `new_bytes` at the end were not searched yet; none at the end.
  BodyEnd FindBodyEnd(std::string& body, std::size_t new_bytes) const;
  // Returns nothing if bytes that may still come decide.
  std::optional<HeadMeaning> JudgeHeadInBody(const FollowingHead& head,
                                             std::string_view body,
                                             bool at_end) const;
  BodyEnd FindStreamEnd(bool at_end) const;
  // Logs and counts what leaves open whether the stream is whole.
  void LogStreamDoubt(StreamDoubt doubt, bool at_end) const;
  AttemptFailure FailureOfStream() const;
  Awaitable<std::optional<AttemptFailure>> RelayEventStream();
  // Returns false if the client has disconnected.
  Awaitable<bool> DeliverEvents(const std::string& events);
  // The engine of the current attempt has begun its answer.
  void OnAnswerBegun();
  // The engine's connection was lost before it began its answer.
  void OnLostBeforeAnswer(const Engine& engine);
  // What is known of a send that has ended.
  struct SendEnd {
    bool connection_lost = false;
    bool withheld = false;
    bool path_lost = false;
    bool kept_connection = false;
    bool answer_begun = false;
    bool silent = false;
    std::string connection_error;
  };
  static SendEnd EndOf(const EngineExchange& exchange);
  void OnAttemptEnded(Engine& engine, std::optional<AttemptFailure> failure);
  // Records the failure of a send in all that depends on it.
  void OnSendFailed(Engine& engine, const SendEnd& end, AttemptFailure failure);
  // Records the failure in the health of the engine.
  void RecordFailure(Engine& engine, AttemptFailure failure);

  // The send that is silent, and since when.
  struct Silence {
    const EngineExchange* exchange = nullptr;
    TimePoint since{};
  };
  bool IsSilent(const Silence& silence) const;
  // Decides whether to send the request to another engine too while its engine
  // sends nothing.
  static Awaitable<void> HandleSilence(std::weak_ptr<RequestDispatch> weak);
  // Returns true, and records it, if the engine is to be asked: its report
  // would decide whether to send the request again.
  bool BeginsToAsk();
  void DecideOnSilence(const std::optional<PlacementPlan>& plan);
  // How long an engine may send nothing before it is looked at.
  Duration MaxSilence() const;
  // Sends of the request, with those under way that are not sent yet.
  std::uint32_t SendsWithUnsent() const;
  // Returns true if the route allows a further send.
  bool HasSendLeft() const;
  // Chooses a healthy engine to which the request could be sent now. Returns
  // nothing if there is none, or no retry is left.
  std::optional<PlacementPlan> PlanBackup();
  // Charges the retry budget. Returns false if it is spent.
  bool TakeRetry();

  // Sends the request to another engine while the first connection stays open.
  void StartBackup(const PlacementPlan& plan);
  // Waits for the backup's answer and reports its end to the request, if that
  // still wants it.
  static Awaitable<void> RunBackup(std::weak_ptr<RequestDispatch> weak,
                                   std::shared_ptr<BackupSend> backup);
  // Sends the backup and waits until its answer has begun. Returns the failure
  // if it has none that can be relayed.
  static Awaitable<std::optional<AttemptFailure>> AwaitBackup(
      std::weak_ptr<RequestDispatch> weak, std::shared_ptr<BackupSend> backup);
  std::optional<AttemptFailure> JudgeBackupHead() const;
  // What the backup's answer needs so that it can be relayed.
  AnswerBeginning ExpectBackupAnswer() const;
  // The backup is relayed, unless the first engine goes on at this moment.
  void OnBackupAnswered();
  void AbandonFirst();
  // The backup becomes the current send.
  void TakeBackup();
  // The first engine is listened to as before.
  void OnBackupFailed(AttemptFailure failure);
  // The first engine goes on, or nobody waits for the answer any more.
  void DropBackup();
  // Sets when to look at a backup whose engine sends nothing.
  void WatchBackup();
  // Replaces the backup if a third engine can be tried; the first engine is
  // listened to all the while.
  void OnBackupSilent();
  // Waits until the backup has an answer or has failed.
  Awaitable<void> WaitForBackup();
  AttemptHistory HistoryAfter(AttemptFailure failure) const;
  AttemptDecision DecideAfterFailedAttempt(AttemptFailure failure) const;
  // Returns true if `decision` is a retry that the retry budget allows. If the
  // budget is spent, replaces `decision` by the final one.
  bool MayRetry(AttemptFailure failure, AttemptDecision& decision);
  Awaitable<void> Finish(const AttemptDecision& decision,
                         AttemptFailure failure);
  Awaitable<void> RelayErrorResponse(std::string_view reason);
  // Sends an error response with a Retry-After field: the request has not run.
  Awaitable<void> Refuse(unsigned status, std::string_view reason);
  // Sends an error response without a Retry-After field: the request may have
  // run, or a retry can't succeed.
  Awaitable<void> Fail(unsigned status, std::string_view reason);
  Awaitable<void> SendErrorResponse(unsigned status, std::string_view reason,
                                    std::optional<Duration> retry_after);
  // The same without a log line.
  Awaitable<void> SendError(unsigned status,
                            std::optional<Duration> retry_after);

  // Records how long the answer has taken, for estimates of later ones.
  void ObserveTimes();
  // Whether the request can be answered before a router that shuts down ends.
  ShutdownForecast Forecast() const;
  // Logs and counts the decision for a request that arrives during a shutdown.
  void LogForecast(const ShutdownForecast& forecast) const;
  // Returns true if a request that has not run is to be refused, since waiting
  // or failed sends have left it too little time before the router ends.
  bool IsTooLateToBegin() const;
  // The earlier one of the client's timeout and the route's.
  TimePoint OwnDeadline() const;
  // The same, but not after the end of a router that shuts down, unless a
  // stream has begun, which may yet come to its end.
  TimePoint Deadline() const;
  void ArmDeadline();
  // Sets when to look at an engine that sends nothing.
  void CheckSilenceAt(TimePoint at);
  // The engine has begun or gone on with the request.
  void OnProgress();
  // The same for a part of a response, unless that says that the engine failed.
  void OnResponseProgress();
  // Until the next progress, the router waits for the client.
  void SuspendSilenceCheck();
  void OnTimeout();
  void OnClientEnd(ClientConnection::ClientEnd end);
  // The work for a client that has ended its side of the connection was
  // cancelled; it may still wait for a response.
  Awaitable<void> FinishForGoneClient(std::string_view reason);
  void Interrupt(Interruption cause);
  void LogOutcome(std::string_view outcome, unsigned status,
                  std::string_view reason);

  DispatchState& state;
  EngineConnector& connector;
  ClientConnection& client;
  HttpRequest request;
  ClientRequest decoded;
  /// The table at arrival, or the first one loaded after it.
  std::shared_ptr<const RoutingTable> routing_table;
  const Route* route = nullptr;  ///< Points into `routing_table`.
  std::string workspace;
  std::uint32_t priority = 0;
  std::string service;
  std::uint64_t affinity_key = 0;  ///< Of the last prompt part; 0 for none.
  std::uint64_t request_key = 0;   ///< Hash of the request id.
  TimePoint attempt_began_at{};    ///< Start of the newest attempt.
  /// Keys by which the quarantine knows requests as alike.
  RequestKeySet quarantine_keys;
  std::uint64_t fingerprint = 0;  ///< See `Fingerprint()`.

  TimePoint arrived_at;
  TimePoint client_deadline;
  RequestWork work;
  TimePoint first_event_at{};  ///< When the stream began.
  Duration timeout{};          ///< Of the route, in the newest routing table.
  Watchdog::Guard timeout_guard;
  /// When to look at an engine that sends nothing.
  TimePoint silence_check_at = TimePoint::max();
  TimePoint last_progress_at{};                 ///< In the current attempt.
  RunReport last_report = RunReport::kUnknown;  ///< Since then.
  bool was_asked = false;                       ///< Since then.
  /// The send to another engine, while the current one is silent.
  std::shared_ptr<BackupSend> backup;
  Interruption interruption = Interruption::kNone;
  std::unique_ptr<Timer> wait_timer;

  /// Address of the engine whose prompt cache the chosen engine may copy from.
  std::string cache_source_address;
  /// When the permit for the chosen engine was asked for, if it needed one.
  std::optional<TimePoint> permitted_at;
  std::vector<std::uint64_t> tried_engine_keys;  ///< Engines attempted so far.
  std::uint32_t sends = 0;  ///< Those of which at least one byte was sent.
  unsigned status = 0;      ///< Of the last engine response.
  std::optional<BodyFraming> framing;  ///< Of the last engine response.
  /// Bytes after the last whole event when the last event stream ended.
  std::size_t unfinished_bytes = 0;
  /// Key of the software version at which the stream began, once it has begun.
  std::optional<std::uint64_t> required_version;
  bool client_has_ended = false;  ///< It sends no more, but may still read.
  bool may_have_run = false;      ///< An engine may have run the request.
  bool stream_started = false;    ///< The response head was sent.
  bool answer_begun = false;      ///< In the current attempt.
  /// Sent to find out whether its prompt still crashes engines.
  bool is_probe = false;
  EventSplitter events;
  std::unique_ptr<EngineExchange> exchange;
  std::optional<EngineResponse> error_response;  ///< Of the last engine that
  ///< failed with a response of its own.
  std::string error_response_body;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_REQUEST_REQUEST_DISPATCH_H_
