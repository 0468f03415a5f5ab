// A machine is stopped with SIGTERM. Uploads that clients send to it 3.06 s
// later work at a sound upstream when the process exits.

#include "common/standin.h"

using namespace review;

namespace {

constexpr int kClients = 8;
constexpr int kWorkMs = 3000;
constexpr int kGraceMs = 6000;
constexpr int kSendAfterMs = 3060;
constexpr int kTimeBudgetMs = 5000;

}  // namespace

int main() {
  Record record("review/3/record.txt");
  TempFolder folder;
  Store store;
  Upstream shop(&store, &record, "i-shop-1", "shop", kWorkMs);
  store.Put("op/config", Manifest({{"upload", "upload", "shop", 0}}, {"shop"}));
  Daemon daemon(store, folder.path(), "front-east-a-1", "127.0.0.1");
  daemon.Start();
  SleepMs(4500);  // in touch

  const int64_t term_at = NowMs();
  if (IsTrouble()) {
    record.Line("platform sends SIGTERM");
    daemon.Signal(SIGTERM);
  }
  SleepMs(kSendAfterMs);
  std::atomic<int> lost = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = "upload-" + std::to_string(i);
      const auto client = daemon.Connect();
      if (client == nullptr) {
        record.Line("%s: the connection is refused", id.c_str());
        return;
      }
      const int64_t sent_at = NowMs();
      const std::string body(60'000, 'u');
      client->Send(Request("POST", "/upload/x", id, kTimeBudgetMs, body));
      record.Line("client sends %s, %lld ms after the SIGTERM", id.c_str(),
                  static_cast<long long>(sent_at - term_at));
      Message answer;
      const ReadResult result = client->Read(&answer, kTimeBudgetMs);
      const int64_t waited = NowMs() - sent_at;
      if (result == ReadResult::kOk) {
        record.Line("client gets status %d to %s", answer.Status(), id.c_str());
        return;
      }
      const bool is_closed = result != ReadResult::kTimeout;
      record.Line("client gets no answer to %s after %lld ms: %s", id.c_str(),
                  static_cast<long long>(waited),
                  is_closed ? "the connection was closed" : "time budget");
      const bool is_excused = sent_at - term_at <= 3000 ||
                              waited >= kTimeBudgetMs ||
                              NowMs() - term_at > kGraceMs + 1000;
      if (is_closed && !is_excused && shop.RunCount(id) > 0) ++lost;
    });
  }
  if (IsTrouble()) {
    SleepMs(term_at + kGraceMs - NowMs());
    if (daemon.IsRunning()) {
      record.Line("platform sends SIGKILL");
      daemon.Kill();
    } else {
      record.Line("the process has ended: %s", daemon.end().c_str());
    }
  }
  for (std::thread& client : clients) client.join();
  record.Line("%d uploads were passed on and never answered", lost.load());
  if (lost > 0) record.Line("BROKEN LOST: around planned work");
  End(&record, &daemon, folder, lost > 0);
}
