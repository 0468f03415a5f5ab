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

    Use an instance only on the thread of the io_context given at construction.
    All operations are coroutines. Errors: kUnavailable when the request cannot
    have reached the store; kUnknown when it may have taken effect, because it
    was sent without a successful response; kDataLoss when the response cannot
    be decoded. */
class StoreClient {
 public:
  struct Options {
    std::vector<std::string> addresses;  // "ip:port"; after a failure, the next
    Duration call_timeout = std::chrono::seconds(2);
  };

  StoreClient(asio::io_context* context, Options options);
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  //==============================================================================
  /** Reads one key. The result has no entries when the key does not exist. */
  asio::awaitable<absl::StatusOr<StoreReadResult>> Get(std::string key);

  /** Reads all keys that start with `prefix`. */
  asio::awaitable<absl::StatusOr<StoreReadResult>> GetPrefix(
      std::string prefix);

  /** Executes a compare-and-swap in one transaction. */
  asio::awaitable<absl::StatusOr<StoreCompareAndSwapResult>> CompareAndSwap(
      StoreCompareAndSwap swap);

  /** Requests a lease of `ttl_seconds` and returns its identifier. */
  asio::awaitable<absl::StatusOr<int64_t>> GrantLease(int64_t ttl_seconds);

  //==============================================================================
  /** Called for each batch of changes that a watch reports. */
  using WatchHandler = std::function<void(const StoreReadResult& changes)>;

  /** Watches all keys that start with `prefix`, from `start_revision` on. Ends
      when the connection closes, CancelWatch() is called, or nothing was
      received for `idle_timeout`.
      @return the reason of the end; never OK. */
  asio::awaitable<absl::Status> Watch(std::string prefix,
                                      uint64_t start_revision,
                                      Duration idle_timeout,
                                      WatchHandler on_changes);

  /** Cancels the running watch, if any. */
  void CancelWatch();

 private:
  struct Connection;

  asio::awaitable<absl::StatusOr<std::string>> Call(std::string path,
                                                    std::string body);
  asio::awaitable<absl::StatusOr<std::unique_ptr<Connection>>> Connect();
  std::string CurrentAddress() const;

  Options options_;
  size_t address_index_ = 0;  // of the address in use, modulo their number
  std::vector<std::unique_ptr<Connection>> idle_connections_;
  Connection* watch_connection_ = nullptr;
};

}  // namespace greengage

#endif  // GG_STORE_STORE_CLIENT_H_
