#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <set>
#include <sstream>
#include <thread>

namespace review {
namespace {

const TimePoint kStart = Clock::now();

std::mutex g_record_mutex;
FILE* g_record = nullptr;

std::mutex g_children_mutex;
std::set<pid_t> g_children;

std::string LowerCase(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(c));
  return text;
}

sockaddr_in MakeAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

const sockaddr* AsSockaddr(const sockaddr_in* address) {
  return static_cast<const sockaddr*>(static_cast<const void*>(address));
}

std::string EncodeBase64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    const size_t count = std::min<size_t>(3, bytes.size() - i);
    for (size_t k = 0; k < 3; ++k) {
      group <<= 8U;
      if (k < count) group |= static_cast<unsigned char>(bytes[i + k]);
    }
    for (size_t k = 0; k < 4; ++k) {
      text += k <= count ? kDigits[(group >> (18 - 6 * k)) & 63U] : '=';
    }
  }
  return text;
}

std::string DecodeBase64(const std::string& text) {
  std::string bytes;
  uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    int digit = -1;
    if (c >= 'A' && c <= 'Z') digit = c - 'A';
    if (c >= 'a' && c <= 'z') digit = c - 'a' + 26;
    if (c >= '0' && c <= '9') digit = c - '0' + 52;
    if (c == '+') digit = 62;
    if (c == '/') digit = 63;
    if (digit < 0) continue;
    group = (group << 6U) | static_cast<uint32_t>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>((group >> static_cast<unsigned>(bits)) & 255U);
    }
  }
  return bytes;
}

std::string DecodePercent(const std::string& text) {
  std::string plain;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  const size_t start = target.find('?');
  if (start == std::string::npos) return "";
  std::stringstream parts(target.substr(start + 1));
  std::string part;
  while (std::getline(parts, part, '&')) {
    if (part.rfind(name + "=", 0) == 0) {
      return DecodePercent(part.substr(name.size() + 1));
    }
  }
  return "";
}

/** Returns the value of a field in the flat JSON that the daemon sends. */
std::string JsonValue(const std::string& json, const std::string& name) {
  const size_t found = json.find("\"" + name + "\":");
  if (found == std::string::npos) return "";
  size_t begin = found + name.size() + 3;
  if (json[begin] == '"') {
    ++begin;
    return json.substr(begin, json.find('"', begin) - begin);
  }
  size_t end = begin;
  while (end < json.size() && std::isdigit(json[end]) != 0) ++end;
  return json.substr(begin, end - begin);
}

std::string ReasonOf(int status) { return status == 200 ? "OK" : "Status"; }

}  // namespace

double Elapsed() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

void SleepFor(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void Record::Open(const std::string& path) {
  g_record = std::fopen(path.c_str(), "w");
}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(g_record_mutex);
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f ", Elapsed());
  if (g_record != nullptr) {
    std::fprintf(g_record, "%s%s\n", time, text.c_str());
    std::fflush(g_record);
  }
}

int FreePort(const std::string& ip) {
  for (int i = 0; i < 50; ++i) {
    const int tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = MakeAddress(ip, 0);
    socklen_t size = sizeof(address);
    const bool is_bound =
        ::bind(tcp, AsSockaddr(&address), sizeof(address)) == 0 &&
        ::getsockname(tcp, static_cast<sockaddr*>(static_cast<void*>(&address)),
                      &size) == 0;
    const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const bool is_free =
        is_bound && ::bind(udp, AsSockaddr(&address), sizeof(address)) == 0;
    ::close(udp);
    ::close(tcp);
    if (is_free) return ntohs(address.sin_port);
  }
  CannotRun("no free port at " + ip);
}

void CannotRun(const std::string& why) {
  Record::Line("cannot run: " + why);
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  EndAllDaemons();
  std::fflush(nullptr);
  std::_Exit(2);
}

//==============================================================================
Connection::~Connection() { Close(); }

int Connection::Connect(const std::string& ip, int port, int receive_buffer) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof(receive_buffer));
  }
  const sockaddr_in address = MakeAddress(ip, port);
  if (::connect(socket, AsSockaddr(&address), sizeof(address)) != 0) {
    ::close(socket);
    return -1;
  }
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return socket;
}

bool Connection::Send(const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

bool Connection::Fill() {
  char bytes[16384];
  const ssize_t count = ::recv(socket_, bytes, sizeof(bytes), 0);
  if (count <= 0) return false;
  buffer_.append(bytes, static_cast<size_t>(count));
  return true;
}

std::optional<Message> Connection::ReadHeader() {
  size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill()) return std::nullopt;
  }
  std::stringstream lines(buffer_.substr(0, end + 2));
  buffer_.erase(0, end + 4);
  Message message;
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (message.first_line.empty()) {
      message.first_line = line;
      continue;
    }
    const size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const size_t begin = line.find_first_not_of(' ', colon + 1);
    message.fields[LowerCase(line.substr(0, colon))] =
        begin == std::string::npos ? "" : line.substr(begin);
  }
  return message;
}

std::string Connection::ReadSome(size_t count) {
  if (buffer_.empty()) {
    std::string bytes(count, '\0');
    const ssize_t got = ::recv(socket_, bytes.data(), count, 0);
    bytes.resize(got > 0 ? static_cast<size_t>(got) : 0);
    return bytes;
  }
  std::string bytes = buffer_.substr(0, count);
  buffer_.erase(0, bytes.size());
  return bytes;
}

std::optional<Message> Connection::ReadMessage(bool* is_complete) {
  if (is_complete != nullptr) *is_complete = true;
  std::optional<Message> message = ReadHeader();
  if (!message) return message;
  const std::string length = message->Field("content-length");
  size_t left = length.empty() ? 0 : std::stoul(length);
  while (left > 0) {
    const std::string part = ReadSome(std::min<size_t>(left, 65536));
    if (part.empty()) {
      if (is_complete != nullptr) *is_complete = false;
      break;
    }
    message->body += part;
    left -= part.size();
  }
  return message;
}

void Connection::SetReadTimeout(double seconds) {
  timeval time{};
  time.tv_sec = static_cast<time_t>(seconds);
  time.tv_usec = static_cast<suseconds_t>(
      (seconds - static_cast<double>(time.tv_sec)) * 1e6);
  ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

void Connection::Close() {
  if (socket_ >= 0) ::close(socket_);
  socket_ = -1;
}

void Connection::Reset() {
  const linger reset{1, 0};
  ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  Close();
}

void Serve(const std::string& ip, int port, int receive_buffer,
           std::function<void(Connection*)> handler) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (receive_buffer > 0) {
    ::setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof(receive_buffer));
  }
  const sockaddr_in address = MakeAddress(ip, port);
  if (::bind(listener, AsSockaddr(&address), sizeof(address)) != 0 ||
      ::listen(listener, 512) != 0) {
    CannotRun("can't listen at " + ip + ":" + std::to_string(port));
  }
  std::thread([listener, handler = std::move(handler)] {
    for (;;) {
      const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        SleepFor(0.01);
        continue;
      }
      const int no_delay = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &no_delay,
                   sizeof(no_delay));
      std::thread([socket, handler] {
        Connection connection(socket);
        handler(&connection);
      }).detach();
    }
  }).detach();
}

//==============================================================================
Store::Store(std::string ip, int port) : ip_(std::move(ip)), port_(port) {}

void Store::Start() {
  Serve(ip_, port_, 0,
        [this](Connection* connection) { HandleConnection(connection); });
  std::thread([this] {
    for (;;) {
      SleepFor(0.01);
      Age();
    }
  }).detach();
}

void Store::Age() {
  const std::lock_guard lock(mutex_);
  static TimePoint last = Clock::now();
  const TimePoint now = Clock::now();
  const double passed = std::chrono::duration<double>(now - last).count();
  last = now;
  if (is_silent_) return;
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    lease->second.left -= passed;
    if (lease->second.left > 0) {
      ++lease;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == lease->first) keys.push_back(key);
    }
    for (const std::string& key : keys) Apply(key, std::nullopt);
    lease = leases_.erase(lease);
  }
}

void Store::Apply(const std::string& key, std::optional<Item> item) {
  ++revision_;
  if (item) {
    item->revision = revision_;
    const auto found = items_.find(key);
    item->created = found == items_.end() ? revision_ : found->second.created;
    items_[key] = *item;
  } else {
    items_.erase(key);
  }
  history_.push_back({key, item, revision_});
  changed_.notify_all();
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  Apply(key, Item{.value = value});
}

void Store::Erase(const std::string& key) {
  const std::lock_guard lock(mutex_);
  if (items_.count(key) != 0) Apply(key, std::nullopt);
}

void Store::SetSilent(bool is_silent) {
  const std::lock_guard lock(mutex_);
  is_silent_ = is_silent;
  changed_.notify_all();
}

double Store::LeaseLeft(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = items_.find(key);
  if (found == items_.end()) return -1;
  const auto lease = leases_.find(found->second.lease);
  return lease == leases_.end() ? -1 : lease->second.left;
}

bool Store::Has(const std::string& key) {
  const std::lock_guard lock(mutex_);
  return items_.count(key) != 0;
}

std::vector<std::string> Store::Keys(const std::string& prefix) {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (key.rfind(prefix, 0) == 0) keys.push_back(key);
  }
  return keys;
}

std::string Store::ItemJson(const std::string& key, const Item& item) const {
  return "{\"key\":\"" + key + "\",\"value\":\"" + EncodeBase64(item.value) +
         "\",\"rev\":" + std::to_string(item.revision) +
         ",\"created\":" + std::to_string(item.created) +
         ",\"lease\":" + std::to_string(item.lease) + "}";
}

void Store::HandleConnection(Connection* connection) {
  bool has_lost_response = false;
  for (;;) {
    const auto request = connection->ReadMessage();
    if (!request) return;
    std::stringstream words(request->first_line);
    std::string method;
    std::string target;
    words >> method >> target;
    {
      // A call that comes while the store is silent gets no response, and its
      // connection returns nothing further.
      const std::lock_guard lock(mutex_);
      has_lost_response = has_lost_response || is_silent_;
    }
    if (has_lost_response) continue;
    const auto [status, body] = Handle(method, target, request->body);
    const std::string head =
        "HTTP/1.1 " + std::to_string(status) + " " + ReasonOf(status) +
        "\r\nStore-Era: 1\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n";
    if (!connection->Send(head + body)) return;
  }
}

std::pair<int, std::string> Store::Handle(const std::string& method,
                                          const std::string& target,
                                          const std::string& body) {
  const std::string path = target.substr(0, target.find('?'));
  if (path == "/-/kv-watch") {
    return Watch(QueryValue(target, "prefix"),
                 std::stoull(QueryValue(target, "after")),
                 std::stod(QueryValue(target, "waitMs")) / 1000);
  }
  if (path == "/-/kv-txn") return Transact(body);
  const std::lock_guard lock(mutex_);
  if (path == "/-/kv-range") {
    const std::string prefix = QueryValue(target, "prefix");
    const std::string after = QueryValue(target, "after");
    std::string items;
    for (const auto& [key, item] : items_) {
      if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after)) {
        continue;
      }
      items += (items.empty() ? "" : ",") + ItemJson(key, item);
    }
    return {200, "{\"items\":[" + items + "],\"hasMore\":false,\"asOf\":" +
                     std::to_string(revision_) + "}"};
  }
  if (path == "/-/kv-lease") {
    const double ttl = std::stod(JsonValue(body, "ttlMs")) / 1000;
    leases_[++last_lease_] = {ttl, ttl};
    return {200, "{\"lease\":" + std::to_string(last_lease_) +
                     ",\"ttlMs\":" + JsonValue(body, "ttlMs") + "}"};
  }
  const uint64_t id =
      std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
  const auto lease = leases_.find(id);
  if (lease == leases_.end()) return {404, "{}"};
  if (path.rfind("/-/kv-keep/", 0) == 0) {
    lease->second.left = lease->second.ttl;
    return {200,
            "{\"ttlMs\":" +
                std::to_string(static_cast<int>(lease->second.ttl * 1000)) +
                "}"};
  }
  if (path.rfind("/-/kv-lease-end/", 0) == 0 && method == "DELETE") {
    lease->second.left = 0;  // Age() removes its keys
    return {200, "{}"};
  }
  return {404, "{}"};
}

std::pair<int, std::string> Store::Watch(const std::string& prefix,
                                         uint64_t after, double wait) {
  std::unique_lock lock(mutex_);
  const TimePoint deadline =
      Clock::now() + std::chrono::duration_cast<Clock::duration>(
                         std::chrono::duration<double>(wait));
  for (;;) {
    std::string events;
    for (const Change& change : history_) {
      if (change.revision <= after || change.key.rfind(prefix, 0) != 0) {
        continue;
      }
      events += events.empty() ? "" : ",";
      events += change.item
                    ? ItemJson(change.key, *change.item)
                    : "{\"key\":\"" + change.key +
                          "\",\"rev\":" + std::to_string(change.revision) +
                          ",\"tombstone\":true}";
    }
    const bool is_over = Clock::now() >= deadline;
    if (!is_silent_ && (!events.empty() || is_over)) {
      return {200, "{\"events\":[" + events +
                       "],\"asOf\":" + std::to_string(revision_) + "}"};
    }
    changed_.wait_until(
        lock, is_over ? Clock::now() + std::chrono::seconds(1) : deadline);
  }
}

std::pair<int, std::string> Store::Transact(const std::string& body) {
  const std::lock_guard lock(mutex_);
  // The daemon puts one key without a condition.
  const std::string key = JsonValue(body, "key");
  const std::string lease = JsonValue(body, "lease");
  const uint64_t id = lease.empty() ? 0 : std::stoull(lease);
  if (key.empty() || key.rfind("op/", 0) == 0 ||
      key.rfind("servers/", 0) == 0) {
    return {403, "{}"};
  }
  if (id != 0 && leases_.count(id) == 0) return {404, "{}"};
  Apply(key,
        Item{.value = DecodeBase64(JsonValue(body, "value")), .lease = id});
  return {200, "{\"rev\":" + std::to_string(revision_) + "}"};
}

//==============================================================================
Daemon::Daemon(DaemonSpec spec, std::string folder)
    : spec_(std::move(spec)), folder_(std::move(folder)) {}

Daemon::~Daemon() {
  if (IsRunning()) {
    Signal(SIGKILL);
    WaitForEnd(5);
  }
}

void Daemon::Start() {
  const DaemonSpec& s = spec_;
  const auto at = [&s](int port) { return s.ip + ":" + std::to_string(port); };
  std::map<std::string, std::string> bounds = {{"seedLagS", "3"},
                                               {"addrReuseS", "2"},
                                               {"stableWindowMs", "4000"},
                                               {"ackMs", "4000"},
                                               {"catchUpS", "4"},
                                               {"drainMs", "2500"},
                                               {"graceS", "6"},
                                               {"lossSlackMs", "200"},
                                               {"configApplyMs", "2500"},
                                               {"revertSlackMs", "250"},
                                               {"maxStretchMs", "6000"},
                                               {"retryBudgetRatio", "0.2"},
                                               {"budgetWindowS", "10"},
                                               {"retrySlack", "62"},
                                               {"coldOvershoot", "1.5"},
                                               {"coldSlack", "5"},
                                               {"evacuateMs", "5000"},
                                               {"recoveryS", "15"},
                                               {"ttl_max_s", "5"},
                                               {"maxShift", "0.15"}};
  for (const auto& [name, value] : s.bounds) bounds[name] = value;
  std::string text =
      "self.node=" + s.name + "\nself.role=entry\nself.machineClass=front\n" +
      "self.serves=front,directory\nself.ip=" + s.ip + "\nself.zone=" + s.zone +
      "\nself.region=" + s.region +
      "\nself.countLoss=false\nself.bootstrap=true\n"
      "self.limits.cpuShare=0.2\nself.limits.cores=1\nself.limits.memoryMb=" +
      std::to_string(s.memory_mb) +
      "\nself.limits.maxFds=4100\nself.limits.linkMbps=1000.0\n"
      "self.limits.diskMb=0\n" +
      "network.listen.front=" + at(s.front_port) +
      "\nnetwork.listen.ready=" + at(s.ready_port) +
      "\nnetwork.listen.directory=" + at(s.directory_port) +
      "\nnetwork.internalPorts=" + std::to_string(s.internal_port) + "," +
      std::to_string(s.internal_port) + "\nnetwork.seeds=\n";
  for (const auto& [zone, region] : s.zones) {
    text += "network.zones." + zone + "=" + region + "\n";
  }
  text +=
      "platform.discovery=platform\nplatform.entry=directory\n"
      "platform.heartbeatMs=1500\nplatform.platform.addr=" +
      s.store_address +
      "\nplatform.platform.form=kv\nplatform.platform.writesPerS=400\n"
      "platform.platform.readsPerS=2000\nplatform.platform.historyS=20\n"
      "platform.platform.valueBytes=1048576\n"
      "platform.platform.minTtlMs=1000\n"
      "terms.contracts=base,drain,config,cost,retry,recover,places,platform\n"
      "terms.tolerate.machines=1\nterms.tolerate.zones=1\n"
      "terms.tolerate.regions=1\n";
  for (const auto& [name, value] : bounds) {
    text += "terms.bounds." + name + "=" + value + "\n";
  }
  const std::string path = folder_ + "/" + s.name + ".conf";
  FILE* file = std::fopen(path.c_str(), "w");
  if (file == nullptr) CannotRun("can't write " + path);
  std::fputs(text.c_str(), file);
  std::fclose(file);
  const std::string log = folder_ + "/" + s.name + ".log";
  const std::string variable = "GREENGAGERAIL_SETTINGS=" + path;
  pid_ = ::fork();
  if (pid_ < 0) CannotRun("can't fork");
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    char* program = ::strdup("target/bin/greengage_entry");
    char* argv[] = {program, nullptr};
    char* settings = ::strdup(variable.c_str());
    char* environment[] = {settings, nullptr};
    ::execve(program, argv, environment);
    std::_Exit(127);
  }
  {
    const std::lock_guard lock(g_children_mutex);
    g_children.insert(pid_);
  }
  Record::Line("daemon " + s.name + ": started, pid " + std::to_string(pid_));
}

void Daemon::Signal(int signal) {
  if (pid_ <= 0) return;
  Record::Line("daemon " + spec_.name + ": signal " + std::to_string(signal));
  ::kill(pid_, signal);
}

bool Daemon::IsRunning() {
  if (pid_ <= 0) return false;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) return true;
  Record::Line("daemon " + spec_.name + ": ended, status " +
               std::to_string(status));
  const std::lock_guard lock(g_children_mutex);
  g_children.erase(pid_);
  pid_ = -1;
  return false;
}

bool Daemon::WaitForEnd(double seconds) {
  const double end = Elapsed() + seconds;
  while (IsRunning()) {
    if (Elapsed() > end) return false;
    SleepFor(0.005);
  }
  return true;
}

bool Daemon::IsReady() {
  Connection connection(Connection::Connect(spec_.ip, spec_.ready_port));
  if (!connection.is_open()) return false;
  connection.SetReadTimeout(1);
  connection.Send("GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto answer = connection.ReadMessage();
  return answer && answer->first_line.find(" 200 ") != std::string::npos;
}

bool Daemon::WaitUntilReady(double seconds) {
  const double end = Elapsed() + seconds;
  while (Elapsed() < end) {
    if (IsReady()) return true;
    SleepFor(0.05);
  }
  return false;
}

void EndAllDaemons() {
  std::set<pid_t> children;
  {
    const std::lock_guard lock(g_children_mutex);
    children.swap(g_children);
  }
  for (const pid_t pid : children) {
    ::kill(pid, SIGCONT);
    ::kill(pid, SIGKILL);
  }
  for (const pid_t pid : children) ::waitpid(pid, nullptr, 0);
}

std::string Manifest(int version, const std::string& routes,
                     const std::vector<std::string>& services) {
  char number[16];
  std::snprintf(number, sizeof(number), "%08x", static_cast<unsigned>(version));
  std::string text =
      "{\"version\":\"" + std::string(number) + "\",\"resources\":[" + routes;
  for (const std::string& service : services) {
    text +=
        ",{\"entryKind\":\"services\",\"metadata\":{\"name\":\"" + service +
        "\"},\"spec\":{\"healthPath\":\"/healthz\",\"maxConns\":390,"
        "\"protocol\":\"h1\",\"tls\":false,\"coldS\":3.0,\"coldPerS\":7.5}}";
  }
  return text +
         ",{\"entryKind\":\"limits\",\"metadata\":{},\"spec\":{"
         "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}]}";
}

std::string Route(const std::string& name, const std::string& host,
                  const std::string& prefix, const std::string& kind,
                  int timeout_ms, const std::string& service, int attempts) {
  std::string text = "{\"entryKind\":\"routes\",\"metadata\":{\"name\":\"" +
                     name + "\"},\"spec\":{\"host\":\"" + host +
                     "\",\"prefix\":\"" + prefix + "\",\"routeKind\":\"" +
                     kind + "\",";
  if (timeout_ms > 0) {
    text += "\"timeoutMs\":" + std::to_string(timeout_ms) + ",";
  }
  return text + "\"latencyTargetMs\":800,\"priority\":1,\"service\":\"" +
         service + "\",\"attempts\":" + std::to_string(attempts) +
         ",\"sticky\":true,\"homeRegions\":[]}}";
}

std::string UpstreamEntry(const std::string& service,
                          const std::string& address, const std::string& zone,
                          int slots, const std::string& state, int sequence) {
  return "{\"service\":\"" + service + "\",\"addr\":\"" + address +
         "\",\"zone\":\"" + zone +
         "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) +
         ",\"state\":\"" + state +
         "\",\"coldLeftMs\":0,\"seq\":" + std::to_string(sequence) + "}";
}

}  // namespace review
