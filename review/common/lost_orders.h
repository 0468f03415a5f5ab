#ifndef REVIEW_COMMON_LOST_ORDERS_H_
#define REVIEW_COMMON_LOST_ORDERS_H_

#include "common/standin.h"

namespace review {

/** Clients that place orders on kept connections. Each one has had an answer on
    its connection before. */
class OrderClients {
 public:
  OrderClients(const Daemon& daemon, Record* record, int count)
      : record_(record) {
    for (int i = 0; i < count; ++i) {
      const auto connection = daemon.Connect();
      if (connection == nullptr) CannotRun("no connection for an order");
      Message answer;
      connection->Send(
          Request("GET", "/read/x", "warm-" + std::to_string(i), 4000));
      if (connection->Read(&answer, 4000) != ReadResult::kOk ||
          answer.Status() != 200) {
        CannotRun("the first read on a connection was not answered");
      }
      connections_.push_back(connection);
    }
  }

  /** Sends one order on each connection and starts to wait for the answers. */
  void Send() {
    for (size_t i = 0; i < connections_.size(); ++i) {
      const std::string id = "order-" + std::to_string(i);
      ids_.push_back(id);
      record_->Line("client sends %s on a kept connection", id.c_str());
      connections_[i]->Send(Request("POST", "/order/x", id, 6000, "an order"));
    }
    results_.resize(ids_.size());
    for (size_t i = 0; i < ids_.size(); ++i) {
      waiting_.emplace_back([this, i] {
        Message answer;
        const ReadResult result = connections_[i]->Read(&answer, 7000);
        results_[i] = result;
        if (result == ReadResult::kOk) {
          record_->Line("client gets status %d to %s", answer.Status(),
                        ids_[i].c_str());
        } else {
          record_->Line("client gets no answer to %s: %s", ids_[i].c_str(),
                        result == ReadResult::kTimeout
                            ? "waited 7 s"
                            : "the connection was closed");
        }
      });
    }
  }

  /** Waits for the answers.
      @return how many orders an upstream ran whose connection was closed
              without an answer. */
  int CountLost(const Upstream& upstream) {
    for (std::thread& thread : waiting_) thread.join();
    int lost = 0;
    for (size_t i = 0; i < ids_.size(); ++i) {
      const bool is_closed = results_[i] == ReadResult::kClosed ||
                             results_[i] == ReadResult::kBroken;
      if (is_closed && upstream.RunCount(ids_[i]) > 0) ++lost;
    }
    record_->Line("%d of %zu orders were passed on and never answered", lost,
                  ids_.size());
    return lost;
  }

 private:
  Record* record_;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::vector<std::string> ids_;
  std::vector<ReadResult> results_;
  std::vector<std::thread> waiting_;
};

/** Runs a case in which one of two upstreams of a service spoils its 61st
    answer (one in sixty) while orders run at a sound upstream of another
    service. Broken (LOST) if more than three orders from kept connections,
    passed on to the sound upstream, get no answer.
    @param spoil  sends the spoilt answer; returns whether the connection stays
           open. */
[[noreturn]] inline void RunSpoiltAnswerCase(const std::string& record_path,
                                             Upstream::Responder spoil) {
  constexpr int kGoodAnswers = 60;
  Record record(record_path);
  TempFolder folder;
  Store store;
  Upstream sound(&store, &record, "i-shop-1", "shop", 1200);
  Upstream other(&store, &record, "i-drawings-1", "drawings", 5);
  std::atomic<int> answers = 0;
  std::atomic<bool> is_spoilt = false;
  Upstream* faulty_upstream = nullptr;
  Upstream faulty(
      &store, &record, "i-drawings-2", "drawings", 0,
      [&](Connection& connection, const Message& request) {
        SleepMs(5);
        if (++answers <= kGoodAnswers || is_spoilt) {
          return connection.Send(faulty_upstream->GoodAnswer(request));
        }
        record.Line("upstream i-drawings-2 spoils its answer to %s",
                    request.Header("request-id").c_str());
        is_spoilt = true;
        return spoil(connection, request);
      });
  faulty_upstream = &faulty;
  store.Put("op/config", Manifest({{"read", "idempotent", "shop", 2000},
                                   {"order", "non_idempotent", "shop", 3000},
                                   {"drawing", "idempotent", "drawings", 2000}},
                                  {"shop", "drawings"}));
  Daemon daemon(store, folder.path(), "front-east-a-1", "127.0.0.1");
  daemon.Start();
  OrderClients orders(daemon, &record, 8);
  const auto read_drawing = [&](int number) {
    const std::string id = "drawing-" + std::to_string(number);
    const auto reader = daemon.Connect();
    if (reader == nullptr) {
      record.Line("%s: the connection is refused", id.c_str());
      return;
    }
    reader->Send(Request("GET", "/drawing/1", id, 4000));
    Message answer;
    const ReadResult result = reader->Read(&answer, 3000);
    if (result == ReadResult::kOk) {
      record.Line("client gets status %d to %s", answer.Status(), id.c_str());
    } else {
      record.Line("client gets no answer to %s: %s", id.c_str(),
                  result == ReadResult::kTimeout ? "waited 3 s"
                                                 : "the connection was closed");
    }
  };
  int number = 0;
  while (answers < kGoodAnswers && number < 400) read_drawing(++number);
  if (answers < kGoodAnswers) CannotRun("an upstream got no requests");
  SleepMs(4500);  // in touch
  orders.Send();
  SleepMs(200);
  for (int i = 0; i < 20 && !is_spoilt; ++i) read_drawing(++number);
  const int lost = orders.CountLost(sound);
  if (!is_spoilt) CannotRun("no answer was spoilt");
  if (!daemon.IsRunning()) {
    record.Line("the daemon ended by itself: %s", daemon.end().c_str());
    record.Line("the end of its output:\n%s", daemon.LogTail(700).c_str());
  }
  const bool is_broken = lost > 3;
  if (is_broken) record.Line("BROKEN LOST: more than three");
  End(&record, &daemon, folder, is_broken);
}

}  // namespace review

#endif  // REVIEW_COMMON_LOST_ORDERS_H_
