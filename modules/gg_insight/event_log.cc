#include "gg_insight/event_log.h"

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
#include <string>

#include "gg_insight/log_rate_limiter.h"

namespace greengage {
namespace {

namespace expr = boost::log::expressions;

using Logger = boost::log::sources::severity_logger_mt<int>;

Logger& ProgramLogger() {
  static Logger logger;
  return logger;
}

namespace sinks = boost::log::sinks;

LogRateLimiter& ProgramLimiter() {
  static LogRateLimiter limiter;
  return limiter;
}

/** Capacity, in lines, of the queue in front of standard output. Lines that
    find it full are dropped. */
constexpr size_t kMaxQueuedLines = 2000;

/** Overflow policy of the queue: drops and counts the new line. The names of
    the methods are given by Boost.Log. */
struct DropAndCountOnOverflow {
  template <typename Lock>
  static bool on_overflow(const boost::log::record_view&, Lock&) {
    ProgramLimiter().CountDropped(Event::kLinesDropped);
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
};

using BoundedSink = sinks::asynchronous_sink<
    sinks::text_ostream_backend,
    sinks::bounded_fifo_queue<kMaxQueuedLines, DropAndCountOnOverflow>>;

boost::shared_ptr<BoundedSink>& ProgramSink() {
  static boost::shared_ptr<BoundedSink> sink;
  return sink;
}

void WriteLine(LogLevel level, Event event, std::string_view text) {
  BOOST_LOG_SEV(ProgramLogger(), static_cast<int>(level))
      << LogLevelName(level) << " E" << static_cast<int>(event) << " "
      << EventName(event) << " " << text;
}

/** Returns the text of a lines_dropped event, such as
    "lines=12 E620=10 E621=2". E690 counts lines of any event that were dropped
    because the queue was full. */
std::string FormatDroppedCounts(const LogRateLimiter::DroppedCounts& dropped) {
  uint64_t lines = 0;
  std::string kinds;
  for (const auto& [event, count] : dropped) {
    lines += count;
    kinds += " E" + std::to_string(static_cast<int>(event)) + "=" +
             std::to_string(count);
  }
  return "lines=" + std::to_string(lines) + kinds;
}

auto MakeLineFormat(std::string_view program) {
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
      boost::log::keywords::format = MakeLineFormat(program));
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
  ProgramSink()->set_formatter(MakeLineFormat(program));
  boost::log::core::get()->add_sink(ProgramSink());
  SetThreshold(threshold);
  ProgramLimiter().SetOptions(
      {.max_request_lines_per_second = lines_per_second});
}

void StopBoundedLogging() {
  if (ProgramSink() == nullptr) return;
  boost::log::core::get()->remove_sink(ProgramSink());
  ProgramSink()->stop();
  ProgramSink()->flush();
  ProgramSink().reset();
}

void LogEvent(LogLevel level, Event event, std::string_view text) {
  LogRateLimiter::DroppedCounts dropped;
  const bool is_admitted =
      ProgramLimiter().Admit(event, std::chrono::steady_clock::now(), &dropped);
  if (!dropped.empty()) {
    WriteLine(LogLevel::kWarning, Event::kLinesDropped,
              FormatDroppedCounts(dropped));
  }
  if (is_admitted) WriteLine(level, event, text);
}

void LogError(Event event, const absl::Status& status) {
  const auto message = status.message();
  LogEvent(LogLevel::kWarning, event, {message.data(), message.size()});
}

}  // namespace greengage
