#include "gg_insight/event_log.h"

#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <iostream>

namespace greengage {
namespace {

namespace expr = boost::log::expressions;

using Logger = boost::log::sources::severity_logger_mt<int>;

Logger& ProgramLogger() {
  static Logger logger;
  return logger;
}

namespace sinks = boost::log::sinks;

/** Lines that wait for a slow reader of standard output; later ones go. */
constexpr size_t kQueuedLines = 2000;

using BoundedSink = sinks::asynchronous_sink<
    sinks::text_ostream_backend,
    sinks::bounded_fifo_queue<kQueuedLines, sinks::drop_on_overflow>>;

boost::shared_ptr<BoundedSink>& ProgramSink() {
  static boost::shared_ptr<BoundedSink> sink;
  return sink;
}

/** Counts the lines of the current second. Any thread may call it. */
class LineLimiter {
 public:
  /** Sets the limit; 0 means none. */
  void SetLimit(uint64_t lines_per_second) { limit_ = lines_per_second; }

  /** Returns whether one more line may be written.
      @param dropped  receives how many were left out in the seconds before. */
  bool Admit(uint64_t* dropped) {
    *dropped = 0;
    if (limit_ == 0) return true;
    const int64_t second =
        std::chrono::duration_cast<std::chrono::seconds>(
            std::chrono::steady_clock::now().time_since_epoch())
            .count();
    if (second_.exchange(second) != second) {
      const uint64_t written = count_.exchange(0);
      if (written > limit_) *dropped = written - limit_;
    }
    return ++count_ <= limit_;
  }

 private:
  std::atomic<uint64_t> limit_ = 0;
  std::atomic<int64_t> second_ = 0;
  std::atomic<uint64_t> count_ = 0;
};

LineLimiter& ProgramLimiter() {
  static LineLimiter limiter;
  return limiter;
}

void Write(LogLevel level, Event event, std::string_view text) {
  BOOST_LOG_SEV(ProgramLogger(), static_cast<int>(level))
      << LogLevelName(level) << " E" << static_cast<int>(event) << " "
      << EventName(event) << " " << text;
}

auto LineFormat(std::string_view program) {
  return expr::stream << expr::format_date_time<boost::posix_time::ptime>(
                             "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                      << " " << std::string(program) << " " << expr::smessage;
}

void SetThreshold(LogLevel threshold) {
  boost::log::core::get()->set_filter(expr::attr<int>("Severity") >=
                                      static_cast<int>(threshold));
}

}  // namespace

void InitLogging(LogLevel threshold, std::string_view program) {
  boost::log::add_common_attributes();
  boost::log::add_console_log(
      std::cerr, boost::log::keywords::auto_flush = true,
      boost::log::keywords::format = LineFormat(program));
  SetThreshold(threshold);
}

void InitBoundedLogging(LogLevel threshold, std::string_view program,
                        uint64_t lines_per_second) {
  boost::log::add_common_attributes();
  auto backend = boost::make_shared<sinks::text_ostream_backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
  backend->auto_flush(true);
  ProgramSink() = boost::make_shared<BoundedSink>(backend);
  ProgramSink()->set_formatter(LineFormat(program));
  boost::log::core::get()->add_sink(ProgramSink());
  SetThreshold(threshold);
  ProgramLimiter().SetLimit(lines_per_second);
}

void StopBoundedLogging() {
  if (ProgramSink() == nullptr) return;
  boost::log::core::get()->remove_sink(ProgramSink());
  ProgramSink()->stop();
  ProgramSink()->flush();
  ProgramSink().reset();
}

void LogEvent(LogLevel level, Event event, std::string_view text) {
  uint64_t dropped = 0;
  const bool is_admitted = ProgramLimiter().Admit(&dropped);
  if (dropped > 0) {
    Write(LogLevel::kWarning, Event::kLinesDropped,
          "lines=" + std::to_string(dropped));
  }
  if (is_admitted) Write(level, event, text);
}

void LogError(Event event, const absl::Status& status) {
  const auto message = status.message();
  LogEvent(LogLevel::kWarning, event, {message.data(), message.size()});
}

}  // namespace greengage
