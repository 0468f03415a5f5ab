#ifndef REVIEW_COMMON_2_SMALL_DEPLOYMENT_H_
#define REVIEW_COMMON_2_SMALL_DEPLOYMENT_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "harness.h"

namespace review {

/** What an upstream saw of one request. */
struct Run {
  std::string line;  // method and path
  std::string body;
  int count = 0;  // how often it began to work on it
  bool is_broken_off = false;
  bool is_answered = false;
};

/** A store, upstreams of one service "svc" and daemons on loopback addresses
    127.0.NET.x. */
class SmallDeployment {
 public:
  /** @param net     third number of the addresses
      @param folder  for settings and logs */
  SmallDeployment(int net, std::string folder);

  /** Address with the last number `host`. */
  std::string Ip(int host) const;

  Store& store() { return *store_; }
  const std::string& store_address() const { return store_address_; }

  /** Serves as an upstream and registers it.
      @param handler  called for each connection */
  void AddUpstream(const std::string& id, const std::string& zone, int slots,
                   std::function<void(Connection*)> handler);

  Daemon* AddDaemon(const std::string& name, const std::string& zone,
                    const std::string& region,
                    const std::map<std::string, std::string>& bounds = {});

  /** Notes that an upstream begins to work on a request. */
  void NoteRun(const std::string& id, const Message& message);
  void NoteBody(const std::string& id, const std::string& body);
  void NoteBrokenOff(const std::string& id, size_t missing);
  void NoteAnswered(const std::string& id);
  Run RunOf(const std::string& id);
  std::vector<std::string> RunIds();

 private:
  int net_;
  std::string folder_;
  int next_host_ = 2;
  std::unique_ptr<Store> store_;
  std::string store_address_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::mutex mutex_;
  std::map<std::string, Run> runs_;
};

/** An upstream's success. */
std::string Success(const std::string& id, const std::string& body);

/** Says the result and exits: 1 if the rule was broken, else 0. */
[[noreturn]] void Conclude(bool is_broken, const std::string& what);

}  // namespace review

#endif  // REVIEW_COMMON_2_SMALL_DEPLOYMENT_H_
