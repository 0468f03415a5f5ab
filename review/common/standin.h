#ifndef REVIEW_COMMON_STANDIN_H_
#define REVIEW_COMMON_STANDIN_H_

// Stand-ins for the review's scripts: the platform's store, upstreams, clients,
// and a handle on a daemon process. Plain sockets and threads, loopback only.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

inline int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline bool IsTrouble() {
  const char* text = getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

//==============================================================================
/** record.txt of a case: what was sent, answered and run. */
class Record {
 public:
  explicit Record(const std::string& path) : file_(fopen(path.c_str(), "w")) {}

  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    if (file_ == nullptr) return;
    fprintf(file_, "%7.3f ", static_cast<double>(NowMs() - start_) / 1000);
    va_list arguments;
    va_start(arguments, format);
    vfprintf(file_, format, arguments);
    va_end(arguments);
    fputc('\n', file_);
    fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_;
  const int64_t start_ = NowMs();
};

/** Ends the script with status 2: the case couldn't run. */
[[noreturn]] inline void CannotRun(const std::string& reason) {
  fprintf(stderr, "the case couldn't run: %s\n", reason.c_str());
  _exit(2);  // daemons end with their parent
}

//==============================================================================
inline sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/** Returns a listening socket on a free port. */
inline int ListenOn(const std::string& ip, int* port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Address(ip, 0);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 512) != 0) {
    CannotRun("no port to listen on");
  }
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  *port = ntohs(address.sin_port);
  return fd;
}

/** Returns a port that is free for TCP and UDP. */
inline int FreePort(const std::string& ip) {
  for (int i = 0; i < 50; ++i) {
    int port = 0;
    const int tcp = ListenOn(ip, &port);
    const int udp = socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in address = Address(ip, port);
    const bool is_free =
        bind(udp, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(udp);
    close(tcp);
    if (is_free) return port;
  }
  CannotRun("no free port");
}

inline bool SendAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

//==============================================================================
/** A request or an answer. */
struct Message {
  std::string start;                           // first line
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  std::string Word(int index) const {
    std::istringstream words(start);
    std::string word;
    for (int i = 0; i <= index; ++i) words >> word;
    return word;
  }
  int Status() const { return atoi(Word(1).c_str()); }
};

enum class ReadResult { kOk, kClosed, kBroken, kTimeout };

/** A connection with the bytes that were read ahead. */
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  int fd() const { return fd_; }
  bool Send(const std::string& bytes) { return SendAll(fd_, bytes); }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  /** Closes the connection with a reset. */
  void Reset() {
    const linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    Close();
  }

  /** Reads a message whose body has a length. kClosed: the connection ended
      before its first byte; kBroken: in the middle. */
  ReadResult Read(Message* message, int64_t timeout_ms) {
    const int64_t end = NowMs() + timeout_ms;
    size_t head_end = 0;
    while ((head_end = input_.find("\r\n\r\n")) == std::string::npos) {
      const ReadResult more = ReadMore(end);
      if (more != ReadResult::kOk) {
        return more == ReadResult::kClosed && !input_.empty()
                   ? ReadResult::kBroken
                   : more;
      }
    }
    *message = {};
    std::istringstream head(input_.substr(0, head_end));
    std::string line;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (message->start.empty()) {
        message->start = line;
        continue;
      }
      const size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      for (char& c : name) c = static_cast<char>(tolower(c));
      const size_t value = line.find_first_not_of(' ', colon + 1);
      message->headers[name] =
          value == std::string::npos ? "" : line.substr(value);
    }
    input_.erase(0, head_end + 4);
    const size_t length =
        strtoull(message->Header("content-length").c_str(), nullptr, 10);
    while (input_.size() < length) {
      const ReadResult more = ReadMore(end);
      if (more == ReadResult::kClosed) return ReadResult::kBroken;
      if (more != ReadResult::kOk) return more;
    }
    message->body = input_.substr(0, length);
    input_.erase(0, length);
    return ReadResult::kOk;
  }

 private:
  ReadResult ReadMore(int64_t end) {
    pollfd entry{fd_, POLLIN, 0};
    const int64_t left = end - NowMs();
    if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) == 0) {
      return ReadResult::kTimeout;
    }
    static thread_local std::vector<char> chunk(256 * 1024);
    const ssize_t count = recv(fd_, chunk.data(), chunk.size(), 0);
    if (count <= 0) return ReadResult::kClosed;
    input_.append(chunk.data(), static_cast<size_t>(count));
    return ReadResult::kOk;
  }

  int fd_;
  std::string input_;
};

/** Returns a connection, or nullptr if it is refused. */
inline std::shared_ptr<Connection> ConnectTo(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Address(ip, port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return nullptr;
  }
  return std::make_shared<Connection>(fd);
}

/** Accepts connections, each on a thread of its own. */
class Server {
 public:
  using Handler = std::function<void(std::shared_ptr<Connection>)>;

  Server(const std::string& ip, Handler handler) : ip_(ip) {
    const int fd = ListenOn(ip, &port_);
    std::thread([fd, handler] {
      for (;;) {
        const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) continue;
        std::thread(handler, std::make_shared<Connection>(accepted)).detach();
      }
    }).detach();
  }

  int port() const { return port_; }
  std::string address() const { return ip_ + ":" + std::to_string(port_); }

 private:
  std::string ip_;
  int port_ = 0;
};

//==============================================================================
inline std::string Base64(const std::string& text) {
  static const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t bits = 0;
    for (size_t j = 0; j < 3; ++j) {
      bits = bits << 8U |
             (i + j < text.size() ? static_cast<uint8_t>(text[i + j]) : 0U);
    }
    for (size_t j = 0; j < 4; ++j) {
      out += i + j > text.size() ? '=' : kDigits[bits >> (18 - 6 * j) & 63U];
    }
  }
  return out;
}

inline std::string Answer(int status, const std::string& headers,
                          const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** The platform's key-value store: items, one revision, leases, watches. */
class Store {
 public:
  Store()
      : server_("127.0.0.1", [this](std::shared_ptr<Connection> connection) {
          Serve(*connection);
        }) {
    std::thread([this] {
      for (;;) {
        SleepMs(50);
        ExpireLeases();
      }
    }).detach();
  }

  std::string address() const { return server_.address(); }

  /** Writes an item as the operator or an upstream. */
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    Write(key, Base64(value), 0);
  }

  void Erase(const std::string& key) {
    const std::lock_guard lock(mutex_);
    Delete(key);
  }

 private:
  struct Item {
    std::string value;  // base64
    uint64_t revision = 0;
    uint64_t created = 0;
    uint64_t lease = 0;
  };
  struct Lease {
    int64_t ttl_ms = 0;
    int64_t ends_at = 0;
  };

  static std::string ItemJson(const std::string& key, const Item& item) {
    std::ostringstream out;
    out << R"({"key":")" << key << R"(","value":")" << item.value
        << R"(","rev":)" << item.revision << R"(,"created":)" << item.created
        << R"(,"lease":)" << item.lease << "}";
    return out.str();
  }

  void Write(const std::string& key, const std::string& value, uint64_t lease) {
    Item& item = items_[key];
    item.value = value;
    item.revision = ++revision_;
    if (item.created == 0) item.created = revision_;
    item.lease = lease;
    history_.emplace_back(revision_, ItemJson(key, item));
    changed_.notify_all();
  }

  void Delete(const std::string& key) {
    if (items_.erase(key) == 0) return;
    ++revision_;
    history_.emplace_back(revision_, R"({"key":")" + key + R"(","rev":)" +
                                         std::to_string(revision_) +
                                         R"(,"tombstone":true})");
    changed_.notify_all();
  }

  void EndLease(uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == id) keys.push_back(key);
    }
    for (const std::string& key : keys) Delete(key);
  }

  void ExpireLeases() {
    const std::lock_guard lock(mutex_);
    std::vector<uint64_t> ended;
    for (const auto& [id, lease] : leases_) {
      if (lease.ends_at <= NowMs()) ended.push_back(id);
    }
    for (const uint64_t id : ended) EndLease(id);
  }

  static std::string Query(const std::string& target, const std::string& name) {
    const size_t begin = target.find(name + "=");
    if (begin == std::string::npos) return "";
    std::string text = target.substr(begin + name.size() + 1);
    text = text.substr(0, text.find('&'));
    std::string out;
    for (size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out += static_cast<char>(
            strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        out += text[i];
      }
    }
    return out;
  }

  /** Returns a text or number field of a flat JSON text. */
  static std::string Field(const std::string& text, const std::string& name) {
    const size_t at = text.find("\"" + name + "\":");
    if (at == std::string::npos) return "";
    size_t begin = at + name.size() + 3;
    const bool is_text = text[begin] == '"';
    if (is_text) ++begin;
    return text.substr(
        begin, text.find_first_of(is_text ? "\"" : ",}", begin) - begin);
  }

  std::string Watch(const std::string& target) {
    std::unique_lock lock(mutex_);
    const uint64_t after =
        strtoull(Query(target, "after").c_str(), nullptr, 10);
    const int64_t wait = atoll(Query(target, "waitMs").c_str());
    changed_.wait_for(lock, std::chrono::milliseconds(wait),
                      [&] { return revision_ > after; });
    std::string events;
    for (const auto& [revision, text] : history_) {
      if (revision <= after) continue;
      events += (events.empty() ? "" : ",") + text;
    }
    return R"({"events":[)" + events + R"(],"asOf":)" +
           std::to_string(revision_) + "}";
  }

  std::string Respond(const Message& request) {
    const std::string method = request.Word(0);
    const std::string target = request.Word(1);
    const std::string type =
        "Content-Type: application/json\r\nStore-Era: 1\r\n";
    if (target.starts_with("/-/kv-watch")) {
      return Answer(200, type, Watch(target));
    }
    const std::lock_guard lock(mutex_);
    if (target.starts_with("/-/kv-range")) {
      const std::string prefix = Query(target, "prefix");
      const std::string after = Query(target, "after");
      std::string items;
      for (const auto& [key, item] : items_) {
        if (!key.starts_with(prefix) || key <= after) continue;
        items += (items.empty() ? "" : ",") + ItemJson(key, item);
      }
      return Answer(200, type,
                    R"({"items":[)" + items + R"(],"hasMore":false,"asOf":)" +
                        std::to_string(revision_) + "}");
    }
    if (target == "/-/kv-txn") {
      const std::string puts =
          request.body.substr(request.body.find("\"puts\":"));
      const uint64_t lease =
          strtoull(Field(puts, "lease").c_str(), nullptr, 10);
      if (lease != 0 && leases_.count(lease) == 0)
        return Answer(404, type, "{}");
      Write(Field(puts, "key"), Field(puts, "value"), lease);
      return Answer(200, type, R"({"rev":)" + std::to_string(revision_) + "}");
    }
    if (target == "/-/kv-lease") {
      const int64_t ttl = atoll(Field(request.body, "ttlMs").c_str());
      leases_[++last_lease_] = {ttl, NowMs() + ttl};
      return Answer(200, type,
                    R"({"lease":)" + std::to_string(last_lease_) +
                        R"(,"ttlMs":)" + std::to_string(ttl) + "}");
    }
    const uint64_t id =
        strtoull(target.substr(target.rfind('/') + 1).c_str(), nullptr, 10);
    if (leases_.count(id) == 0) return Answer(404, type, "{}");
    if (target.starts_with("/-/kv-keep/")) {
      leases_[id].ends_at = NowMs() + leases_[id].ttl_ms;
    } else {
      EndLease(id);
    }
    return Answer(200, type, "{}");
  }

  void Serve(Connection& connection) {
    Message request;
    while (connection.Read(&request, 600'000) == ReadResult::kOk) {
      if (!connection.Send(Respond(request))) return;
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::deque<std::pair<uint64_t, std::string>> history_;
  std::map<uint64_t, Lease> leases_;
  uint64_t revision_ = 10;
  uint64_t last_lease_ = 100;
  Server server_;
};

//==============================================================================
/** One request as an upstream received it. */
struct Run {
  std::string id;
  std::string method;
  std::string path;
  size_t body_bytes = 0;
  int64_t began_at = 0;
};

/** An upstream. It registers itself in the store and writes there every 1.5 s.
    `respond` sends the answer to one request and returns whether the connection
    stays open; without it, each request works for `work_ms` and is answered
    200. */
class Upstream {
 public:
  using Responder =
      std::function<bool(Connection& connection, const Message& request)>;

  Upstream(Store* store, Record* record, const std::string& id,
           const std::string& service, int work_ms, Responder respond = nullptr)
      : store_(store),
        record_(record),
        id_(id),
        service_(service),
        work_ms_(work_ms),
        respond_(std::move(respond)),
        server_("127.0.0.1", [this](std::shared_ptr<Connection> connection) {
          Serve(*connection);
        }) {
    Beat();
    std::thread([this] {
      for (;;) {
        SleepMs(1500);
        Beat();
      }
    }).detach();
  }

  /** The answer of a sound upstream. */
  std::string GoodAnswer(const Message& request) const {
    return Answer(200,
                  "Request-Id: " + request.Header("request-id") +
                      "\r\nUpstream-Stamp: stamp." + id_ + "." +
                      request.Header("request-id") +
                      "\r\nKeep-Alive: timeout=10\r\nContent-Type: "
                      "text/plain\r\n",
                  "body of " + request.Header("request-id") + "\n");
  }

  std::vector<Run> runs() const {
    const std::lock_guard lock(mutex_);
    return runs_;
  }
  int RunCount(const std::string& id) const {
    int count = 0;
    for (const Run& run : runs()) count += run.id == id ? 1 : 0;
    return count;
  }

 private:
  void Beat() {
    std::ostringstream entry;
    entry << R"({"service":")" << service_ << R"(","addr":")"
          << server_.address()
          << R"(","zone":"east-a","version":"v1","slots":32,"state":"ready",)"
          << R"("coldLeftMs":0,"seq":)" << ++sequence_
          << R"(,"born":1700000000000})";
    store_->Put("servers/" + id_, entry.str());
  }

  void Serve(Connection& connection) {
    Message request;
    while (connection.Read(&request, 600'000) == ReadResult::kOk) {
      if (request.Header("expect-instance") != id_) {
        connection.Send(Answer(421, "Instance-Id: " + id_ + "\r\n", ""));
        continue;
      }
      {
        const std::lock_guard lock(mutex_);
        runs_.push_back({request.Header("request-id"), request.Word(0),
                         request.Word(1), request.body.size(), NowMs()});
      }
      record_->Line("upstream %s runs id=%s %s %s body=%zu", id_.c_str(),
                    request.Header("request-id").c_str(),
                    request.Word(0).c_str(), request.Word(1).c_str(),
                    request.body.size());
      if (respond_) {
        if (!respond_(connection, request)) return;
        continue;
      }
      SleepMs(work_ms_);
      const bool is_sent = connection.Send(GoodAnswer(request));
      record_->Line("upstream %s %s id=%s", id_.c_str(),
                    is_sent ? "answers" : "can't answer, connection gone",
                    request.Header("request-id").c_str());
      if (!is_sent) return;
    }
  }

  Store* store_;
  Record* record_;
  const std::string id_;
  const std::string service_;
  const int work_ms_;
  const Responder respond_;
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
  std::atomic<int> sequence_ = 0;
  Server server_;
};

//==============================================================================
/** A route of the manifest: its prefix is /NAME/, its host shop.example. */
struct Route {
  std::string name;
  std::string kind;
  std::string service;
  int timeout_ms = 0;  // 0: the manifest names none
};

inline std::string Manifest(const std::vector<Route>& routes,
                            const std::vector<std::string>& services) {
  std::ostringstream out;
  out << R"({"version":"00000007","resources":[)";
  for (const Route& route : routes) {
    out << R"({"entryKind":"routes","metadata":{"name":"r-)" << route.name
        << R"("},"spec":{"host":"shop.example","prefix":"/)" << route.name
        << R"(/","routeKind":")" << route.kind << "\",";
    if (route.timeout_ms > 0)
      out << "\"timeoutMs\":" << route.timeout_ms << ",";
    out << R"("latencyTargetMs":800,"priority":1,"service":")" << route.service
        << R"(","attempts":2,"sticky":false,"homeRegions":[]}},)";
  }
  for (const std::string& service : services) {
    out << R"({"entryKind":"services","metadata":{"name":")" << service
        << R"("},"spec":{"healthPath":"/healthz","maxConns":390,)"
        << R"("protocol":"h1","tls":false,"coldS":3.0,"coldPerS":7.5}},)";
  }
  out << R"({"entryKind":"limits","metadata":{},"spec":)"
      << R"({"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
      << R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}}]})";
  return out.str();
}

/** The entry daemon, started by the command of the deploy file. */
class Daemon {
 public:
  Daemon(const Store& store, const std::string& folder, const std::string& name,
         const std::string& ip)
      : ip_(ip) {
    front_port_ = FreePort(ip);
    ready_port_ = FreePort(ip);
    directory_port_ = FreePort(ip);
    const int internal_port = FreePort(ip);
    settings_path_ = folder + "/" + name + ".conf";
    log_path_ = folder + "/" + name + ".log";
    std::ofstream out(settings_path_);
    const auto address = [&](int port) {
      return ip + ":" + std::to_string(port);
    };
    out << "self.node=" << name << "\nself.role=entry\n"
        << "self.machineClass=front\nself.serves=front,directory\n"
        << "self.ip=" << ip << "\nself.zone=east-a\nself.region=east\n"
        << "self.countLoss=false\nself.bootstrap=true\n"
        << "self.limits.cpuShare=0.2\nself.limits.cores=1\n"
        << "self.limits.memoryMb=260\nself.limits.maxFds=4100\n"
        << "self.limits.linkMbps=1000.0\nself.limits.diskMb=0\n"
        << "network.listen.front=" << address(front_port_) << "\n"
        << "network.listen.ready=" << address(ready_port_) << "\n"
        << "network.listen.directory=" << address(directory_port_) << "\n"
        << "network.internalPorts=" << internal_port << ","
        << internal_port + 15 << "\nnetwork.seeds=\n"
        << "network.zones.east-a=east\nnetwork.zones.west-a=west\n"
        << "platform.discovery=platform\nplatform.entry=directory\n"
        << "platform.heartbeatMs=1500\n"
        << "platform.platform.addr=" << store.address() << "\n"
        << "platform.platform.form=kv\nplatform.platform.writesPerS=400\n"
        << "platform.platform.readsPerS=2000\nplatform.platform.historyS=20\n"
        << "platform.platform.valueBytes=1048576\n"
        << "platform.platform.minTtlMs=1000\n"
        << "terms.bounds.addrReuseS=2\nterms.bounds.stableWindowMs=4000\n"
        << "terms.bounds.drainMs=2500\nterms.bounds.graceS=6\n"
        << "terms.bounds.lossSlackMs=200\nterms.bounds.configApplyMs=2500\n"
        << "terms.bounds.retryBudgetRatio=0.2\nterms.bounds.budgetWindowS=10\n"
        << "terms.bounds.retrySlack=62\nterms.bounds.coldOvershoot=1.5\n"
        << "terms.bounds.coldSlack=5\nterms.bounds.ttl_max_s=5\n";
  }
  ~Daemon() { Kill(); }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /** Starts the process and waits until it is ready. */
  void Start() {
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      setenv("GREENGAGERAIL_SETTINGS", settings_path_.c_str(), 1);
      const rlimit no_core{0, 0};
      setrlimit(RLIMIT_CORE, &no_core);
      const int log =
          open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      execl("target/bin/greengage_entry", "target/bin/greengage_entry",
            nullptr);
      _exit(127);
    }
    for (int i = 0; i < 100; ++i) {
      SleepMs(100);
      if (!IsRunning()) break;
      const auto connection = ConnectTo(ip_, ready_port_);
      if (connection == nullptr) continue;
      connection->Send("GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
      Message answer;
      if (connection->Read(&answer, 1000) == ReadResult::kOk &&
          answer.Status() == 200) {
        return;
      }
    }
    Kill();
    CannotRun("the daemon did not become ready");
  }

  /** Returns whether the process runs; notes how it ended. */
  bool IsRunning() {
    if (pid_ <= 0) return false;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == 0) return true;
    pid_ = -1;
    end_ = WIFSIGNALED(status)
               ? std::string("signal ") + strsignal(WTERMSIG(status))
               : "exit status " + std::to_string(WEXITSTATUS(status));
    return false;
  }

  void Signal(int signal) {
    if (pid_ > 0) kill(pid_, signal);
  }
  void Kill() {
    if (!IsRunning()) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
    end_ = "killed by the script";
  }
  /** Resident memory in MB, as the machine's limit counts it. */
  double ResidentMb() const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(in, line)) {
      if (line.starts_with("VmRSS:")) return atof(line.c_str() + 6) / 1024;
    }
    return 0;
  }

  /** How the process ended, and the last lines of its log. */
  const std::string& end() const { return end_; }
  std::string LogTail(size_t bytes) const {
    std::ifstream in(log_path_);
    std::stringstream text;
    text << in.rdbuf();
    const std::string all = text.str();
    return all.size() <= bytes ? all : all.substr(all.size() - bytes);
  }

  std::shared_ptr<Connection> Connect() const {
    return ConnectTo(ip_, front_port_);
  }

 private:
  std::string ip_;
  int front_port_ = 0;
  int ready_port_ = 0;
  int directory_port_ = 0;
  std::string settings_path_;
  std::string log_path_;
  pid_t pid_ = -1;
  std::string end_ = "running";
};

/** A client's request. */
inline std::string Request(const std::string& method, const std::string& path,
                           const std::string& id, int deadline_ms,
                           const std::string& body = "") {
  std::string text = method + " " + path +
                     " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
                     "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  if (method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

/** A temporary folder. */
class TempFolder {
 public:
  TempFolder() {
    char name[] = "/tmp/review-XXXXXX";
    if (mkdtemp(name) == nullptr) CannotRun("no temporary folder");
    path_ = name;
  }
  ~TempFolder() { Remove(); }
  void Remove() const {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

/** Ends the script: 1 if the rule was broken, else 0. Does not wait for the
    threads of the stand-ins. */
[[noreturn]] inline void End(Record* record, Daemon* daemon,
                             const TempFolder& folder, bool is_broken) {
  if (daemon->IsRunning()) daemon->Kill();
  folder.Remove();
  record->Line(
      "%s", is_broken ? "RESULT the rule was broken" : "RESULT the rule held");
  printf("%s\n", is_broken ? "broken" : "held");
  fflush(stdout);
  _exit(is_broken ? 1 : 0);
}

}  // namespace review

#endif  // REVIEW_COMMON_STANDIN_H_
