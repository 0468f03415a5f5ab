#ifndef REVIEW_COMMON_2_HARNESS_H_
#define REVIEW_COMMON_2_HARNESS_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

/** Seconds since the program started. */
double Elapsed();
void SleepFor(double seconds);

/** The record of what was sent, answered and run. Thread-safe. */
class Record {
 public:
  static void Open(const std::string& path);
  static void Line(const std::string& text);
};

/** Returns a free TCP port at `ip` that is also free for UDP. */
int FreePort(const std::string& ip);

/** Ends the program with 2, after ending all children: the case can't run. */
[[noreturn]] void CannotRun(const std::string& why);

//==============================================================================
/** A header and body as read from a connection. */
struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;  // names in lower case
  std::string body;

  std::string Field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
};

/** A TCP connection with blocking calls. */
class Connection {
 public:
  explicit Connection(int socket) : socket_(socket) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /** Connects; -1 as the socket when it fails. */
  static int Connect(const std::string& ip, int port, int receive_buffer = 0);

  bool is_open() const { return socket_ >= 0; }
  int socket() const { return socket_; }
  bool Send(const std::string& bytes);
  /** Reads up to the end of a header, and nothing that is in `body`. */
  std::optional<Message> ReadHeader();
  /** Reads up to `count` bytes of what follows. Empty at the end. */
  std::string ReadSome(size_t count);
  /** Reads a header and its body by Content-Length or chunks. For a message
      that ends early, `is_complete` is set to false. */
  std::optional<Message> ReadMessage(bool* is_complete = nullptr);
  /** Time limit of each read, in seconds; 0: none. */
  void SetReadTimeout(double seconds);
  void Close();
  /** Closes with a reset. */
  void Reset();

 private:
  bool Fill();

  int socket_;
  std::string buffer_;
};

/** Accepts connections, each on a thread of its own. Never stops. */
void Serve(const std::string& ip, int port, int receive_buffer,
           std::function<void(Connection*)> handler);

//==============================================================================
/** The platform's key-value store, as PROTOCOL.md describes it. */
class Store {
 public:
  Store(std::string ip, int port);
  void Start();

  void Put(const std::string& key, const std::string& value);
  void Erase(const std::string& key);

  /** While the store is silent it reads calls and does not respond. Leases
      pause. Watches that wait go on waiting. */
  void SetSilent(bool is_silent);

  /** Seconds that the lease of `key` has left; less than 0: no such key. */
  double LeaseLeft(const std::string& key);
  bool Has(const std::string& key);
  std::vector<std::string> Keys(const std::string& prefix);

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
    uint64_t lease = 0;
  };
  struct Change {
    std::string key;
    std::optional<Item> item;
    uint64_t revision = 0;
  };
  struct Lease {
    double ttl = 0;
    double left = 0;
  };

  void HandleConnection(Connection* connection);
  /** Returns status and body. */
  std::pair<int, std::string> Handle(const std::string& method,
                                     const std::string& target,
                                     const std::string& body);
  std::pair<int, std::string> Watch(const std::string& prefix, uint64_t after,
                                    double wait);
  std::pair<int, std::string> Transact(const std::string& body);
  void Apply(const std::string& key, std::optional<Item> item);
  std::string ItemJson(const std::string& key, const Item& item) const;
  void Age();

  std::string ip_;
  int port_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Change> history_;
  std::map<uint64_t, Lease> leases_;
  uint64_t revision_ = 10;
  uint64_t last_lease_ = 1000;
  bool is_silent_ = false;
};

//==============================================================================
/** Settings of one daemon. */
struct DaemonSpec {
  std::string name;
  std::string ip;
  std::string zone;
  std::string region;
  int front_port = 0;
  int ready_port = 0;
  int directory_port = 0;
  int internal_port = 0;
  std::string store_address;
  std::vector<std::pair<std::string, std::string>> zones;  // zone, region
  std::map<std::string, std::string> bounds;               // replaces defaults
  int memory_mb = 260;
};

/** A daemon as a process of its own. */
class Daemon {
 public:
  Daemon(DaemonSpec spec, std::string folder);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  void Start();
  void Signal(int signal);
  /** Returns whether the process runs. */
  bool IsRunning();
  /** Waits for its end; returns false after `seconds`. */
  bool WaitForEnd(double seconds);
  bool WaitUntilReady(double seconds);
  bool IsReady();
  const DaemonSpec& spec() const { return spec_; }

 private:
  DaemonSpec spec_;
  std::string folder_;
  pid_t pid_ = -1;
};

/** Ends all daemons that still run. */
void EndAllDaemons();

/** Returns a manifest with one host and the given routes, as JSON.
    @param routes  JSON objects for `resources`, separated by commas. */
std::string Manifest(int version, const std::string& routes,
                     const std::vector<std::string>& services);
std::string Route(const std::string& name, const std::string& host,
                  const std::string& prefix, const std::string& kind,
                  int timeout_ms, const std::string& service, int attempts = 2);
/** An upstream's entry in the store. */
std::string UpstreamEntry(const std::string& service,
                          const std::string& address, const std::string& zone,
                          int slots, const std::string& state, int sequence);

}  // namespace review

#endif  // REVIEW_COMMON_2_HARNESS_H_
