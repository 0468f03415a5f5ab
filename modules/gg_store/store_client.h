#ifndef GG_STORE_STORE_CLIENT_H_
#define GG_STORE_STORE_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "gg_core/time.h"
#include "gg_store/asio.h"
#include "gg_store/store_types.h"

namespace greengage {

/** Client of the platform's key-value service.

    Every method is a coroutine on the io_context given at construction, from
    which alone an instance may be used. Errors: kUnavailable when the call
   cannot have reached the store; kUnknown when it was sent and no answer came,
   so that it may have taken effect; kDataLoss for an answer that cannot be
   read. */
class StoreClient {
 public:
  struct Options {
    std::vector<std::string> addresses;  // "ip:port", tried in turn
    Duration call_timeout = std::chrono::seconds(2);
  };

  StoreClient(asio::io_context* context, Options options);
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  //==============================================================================
  /** Reads one key; an absent one gives no entries. */
  asio::awaitable<absl::StatusOr<StoreReadResult>> Get(std::string key);

  /** Reads all keys that start with `prefix`. */
  asio::awaitable<absl::StatusOr<StoreReadResult>> GetPrefix(
      std::string prefix);

  /** Makes a compare-and-swap. */
  asio::awaitable<absl::StatusOr<StoreCompareAndSwapResult>> CompareAndSwap(
      StoreCompareAndSwap swap);

  /** Grants a lease and returns its identifier. */
  asio::awaitable<absl::StatusOr<int64_t>> GrantLease(int64_t ttl_seconds);

  //==============================================================================
  /** Called for each batch of changes of a watch. */
  using WatchHandler = std::function<void(const StoreReadResult& changes)>;

  /** Watches all keys under `prefix` from `start_revision` until the connection
      ends, CancelWatch() is called, or nothing came for `idle_timeout`.
      @return why it ended; never OK. */
  asio::awaitable<absl::Status> Watch(std::string prefix,
                                      uint64_t start_revision,
                                      Duration idle_timeout,
                                      WatchHandler on_changes);

  /** Ends the running watch, if any. */
  void CancelWatch();

 private:
  struct Connection;

  asio::awaitable<absl::StatusOr<std::string>> Call(std::string path,
                                                    std::string body);
  asio::awaitable<absl::StatusOr<std::unique_ptr<Connection>>> Connect();
  std::string CurrentAddress() const;

  Options options_;
  size_t address_index_ = 0;  // index of the address in use
  std::vector<std::unique_ptr<Connection>> idle_connections_;
  Connection* watch_connection_ = nullptr;
};

}  // namespace greengage

#endif  // GG_STORE_STORE_CLIENT_H_
