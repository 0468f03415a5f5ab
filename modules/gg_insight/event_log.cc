#include "gg_insight/event_log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace greengage {
namespace {

namespace expr = boost::log::expressions;

using Logger = boost::log::sources::severity_logger_mt<int>;

Logger& ProgramLogger() {
  static Logger logger;
  return logger;
}

}  // namespace

void InitLogging(LogLevel threshold, std::string_view program) {
  boost::log::add_common_attributes();
  boost::log::add_console_log(
      std::cerr, boost::log::keywords::auto_flush = true,
      boost::log::keywords::format =
          expr::stream << expr::format_date_time<boost::posix_time::ptime>(
                              "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                       << " " << std::string(program) << " " << expr::smessage);
  boost::log::core::get()->set_filter(expr::attr<int>("Severity") >=
                                      static_cast<int>(threshold));
}

void LogEvent(LogLevel level, Event event, std::string_view text) {
  BOOST_LOG_SEV(ProgramLogger(), static_cast<int>(level))
      << LogLevelName(level) << " E" << static_cast<int>(event) << " "
      << EventName(event) << " " << text;
}

void LogError(Event event, const absl::Status& status) {
  const auto message = status.message();
  LogEvent(LogLevel::kWarning, event, {message.data(), message.size()});
}

}  // namespace greengage
