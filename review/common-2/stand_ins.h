/// \file
/// \brief Stand-ins for clients, engines and the platform's store, and control
///        of router processes, for the cases of this review.
///
/// All of them use blocking sockets on loopback addresses, one thread a
/// connection, and the real clock.
#ifndef DANDELIONSCALE_REVIEW_COMMON_2_STAND_INS_H_
#define DANDELIONSCALE_REVIEW_COMMON_2_STAND_INS_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// \returns true unless the environment has TROUBLE=0.
bool HasTrouble();

/// \brief Writes what was sent, answered and run to the file that the
///        environment names in RECORD, `record.txt` if it names none.
class Record {
 public:
  Record();
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  void Write(const std::string& text);
  /// \returns milliseconds since the record was opened.
  std::int64_t Now() const;

 private:
  std::mutex mutex;
  Clock::time_point began = Clock::now();
  std::FILE* file = nullptr;
};

/// \brief A request or a response; names of fields are in lowercase.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Field(const std::string& name) const;
  /// \returns the second word of the first line: a request's target or a
  ///          response's status.
  std::string SecondWord() const;
};

/// \brief One end of a TCP connection.
class Connection {
 public:
  explicit Connection(int socket) : socket(socket) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// \param receive_buffer size of the socket's receive buffer; 0: the
  ///        system's default.
  /// \returns the socket, or -1.
  static int Open(const std::string& ip, std::uint16_t port,
                  int receive_buffer = 0);

  bool Send(std::string_view bytes);
  /// \returns false if the connection ended or nothing came in time.
  bool ReadMessage(Message& message, Milliseconds timeout);
  /// \brief Reads at most `size` bytes. \returns 0 at an orderly end, less than
  /// 0 if it failed or nothing came in time.
  long ReadSome(char* bytes, std::size_t size, Milliseconds timeout);
  bool IsOpen() const;
  int Socket() const { return this->socket; }

 private:
  bool Fill(Clock::time_point until);
  bool ReadBody(Message& message, Clock::time_point until);

  int socket;
  std::string buffer;
};

/// \brief Accepts connections and serves each on a thread of its own.
class Listener {
 public:
  using Handler = std::function<void(Connection&)>;
  /// \returns true if it listens; the threads end with the process.
  static bool Start(const std::string& ip, std::uint16_t port, Handler handler);
};

/// \brief The platform's store. Each router has a port of its own, so that the
///        store can serve some machines and not others.
class Store {
 public:
  bool Listen(const std::string& ip, std::uint16_t first_port, int ports);
  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  /// \brief From now on, calls of these routers get no answer.
  void Silence(std::set<int> new_silent);
  /// \returns the routers that wait for changes of the configuration.
  std::set<int> Watchers();

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };
  void Serve(Connection& connection, int router);
  std::optional<std::string> Answer(const Message& request, int router);
  std::string Rows(const std::string& table, std::uint64_t after, bool all);
  bool HasRows(const std::string& table, std::uint64_t after) const;
  void Transact(const std::string& body);

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::tuple<std::string, std::string>, Row> rows;
  std::uint64_t version = 1;
  std::set<int> silent;
  std::multiset<int> watching;
};

/// \brief An engine; `handler` answers its requests and returns false to close
///        the connection.
class Engine {
 public:
  using Handler = std::function<bool(Connection&, const Message&)>;
  /// Returns the engine's report of its work, as JSON.
  using Reporter = std::function<std::string()>;
  /// \param reporter if empty, reports say that nothing runs or waits.
  static bool Start(const std::string& ip, std::uint16_t port, Handler handler,
                    Reporter reporter = {});
};

/// \returns an engine's answer, with its seal.
std::string MakeAnswer(const Message& request, int status,
                       std::string_view body);
/// \returns the entry of an engine in the store.
std::string MakeEntry(const std::string& service, const std::string& address,
                      const std::string& state, int slots);

/// \brief One router process.
class Router {
 public:
  /// \param settings further lines of the settings file.
  Router(int number, std::string ip, std::uint16_t front,
         std::uint16_t store_port, const std::string& store_ip,
         const std::string& folder, const std::string& settings);
  bool Start();
  void Signal(int signal) const;
  /// \brief Waits for the end of the process.
  void Wait();
  bool IsReady() const;
  bool WaitUntilReady(Milliseconds timeout) const;
  const std::string& Ip() const { return this->ip; }
  std::uint16_t Front() const { return this->front; }

 private:
  int number;
  std::string ip;
  std::uint16_t front;
  std::string settings_path;
  std::string log_path;
  pid_t pid = 0;
};

/// \brief Kills all routers that were started, on the way out.
void KillRouters();

/// \returns a request of a client, with the key `key`.
std::string MakeRequest(const std::string& method, const std::string& path,
                        const std::string& id, const std::string& key,
                        int deadline_ms, std::string_view body);

/// \brief Sends one request on a new connection.
/// \returns the status; 0 if there was no whole answer.
int Call(const Router& router, const std::string& request,
         Milliseconds timeout);

/// \brief A range of free loopback addresses and ports for one run.
struct Addresses {
  std::string prefix;  ///< "127.x.y."
  std::uint16_t port = 0;
};
std::optional<Addresses> FindAddresses();

/// \returns a new folder below the temporary folder.
std::string MakeFolder();

}  // namespace review

#endif  // DANDELIONSCALE_REVIEW_COMMON_2_STAND_INS_H_
