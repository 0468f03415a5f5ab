#include "small_deployment.h"

#include <cstdio>
#include <cstdlib>

namespace review {

SmallDeployment::SmallDeployment(int net, std::string folder)
    : net_(net), folder_(std::move(folder)) {
  const int port = FreePort(Ip(1));
  store_ = std::make_unique<Store>(Ip(1), port);
  store_->Start();
  store_address_ = Ip(1) + ":" + std::to_string(port);
}

std::string SmallDeployment::Ip(int host) const {
  return "127.0." + std::to_string(net_) + "." + std::to_string(host);
}

void SmallDeployment::AddUpstream(const std::string& id,
                                  const std::string& zone, int slots,
                                  std::function<void(Connection*)> handler) {
  const std::string ip = Ip(next_host_++);
  const int port = FreePort(ip);
  Serve(ip, port, 0, std::move(handler));
  store_->Put("servers/" + id,
              UpstreamEntry("svc", ip + ":" + std::to_string(port), zone, slots,
                            "ready", 1));
}

Daemon* SmallDeployment::AddDaemon(
    const std::string& name, const std::string& zone, const std::string& region,
    const std::map<std::string, std::string>& bounds) {
  DaemonSpec spec;
  spec.name = name;
  spec.ip = Ip(next_host_++);
  spec.zone = zone;
  spec.region = region;
  spec.front_port = FreePort(spec.ip);
  spec.ready_port = FreePort(spec.ip);
  spec.directory_port = FreePort(spec.ip);
  // The same on all machines.
  static const int internal_port = FreePort(spec.ip);
  spec.internal_port = internal_port;
  spec.store_address = store_address_;
  spec.zones = {{"a", "r1"}, {"b", "r1"}};
  spec.bounds = bounds;
  daemons_.push_back(std::make_unique<Daemon>(spec, folder_));
  return daemons_.back().get();
}

void SmallDeployment::NoteRun(const std::string& id, const Message& message) {
  Record::Line("upstream: at work on " + id + ", " + message.first_line);
  const std::lock_guard lock(mutex_);
  Run& run = runs_[id];
  run.line = message.first_line.substr(0, message.first_line.rfind(' '));
  ++run.count;
}

void SmallDeployment::NoteBody(const std::string& id, const std::string& body) {
  Record::Line("upstream: " + id + " has a body of " +
               std::to_string(body.size()) + " bytes");
  const std::lock_guard lock(mutex_);
  runs_[id].body = body;
}

void SmallDeployment::NoteBrokenOff(const std::string& id, size_t missing) {
  Record::Line("upstream: " + id + " is broken off, " +
               std::to_string(missing) + " bytes of its body are missing");
  const std::lock_guard lock(mutex_);
  runs_[id].is_broken_off = true;
}

void SmallDeployment::NoteAnswered(const std::string& id) {
  Record::Line("upstream: " + id + " is answered with 200");
  const std::lock_guard lock(mutex_);
  runs_[id].is_answered = true;
}

Run SmallDeployment::RunOf(const std::string& id) {
  const std::lock_guard lock(mutex_);
  const auto found = runs_.find(id);
  return found == runs_.end() ? Run{} : found->second;
}

std::vector<std::string> SmallDeployment::RunIds() {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> ids;
  for (const auto& [id, run] : runs_) ids.push_back(id);
  return ids;
}

std::string Success(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nUpstream-Stamp: s1." +
         id + "\r\nKeep-Alive: timeout=10\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

void Conclude(bool is_broken, const std::string& what) {
  const std::string text =
      std::string(is_broken ? "broken: " : "held: ") + what;
  Record::Line(text);
  std::printf("%s\n", text.c_str());
  EndAllDaemons();
  std::fflush(nullptr);
  std::_Exit(is_broken ? 1 : 0);
}

}  // namespace review
