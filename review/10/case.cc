// DRAIN: the directory of a daemon that was restarted while the store was away
// names a machine that has long been gone.
//
// usage: case10 FOLDER TROUBLE
#include <csignal>

#include "../common-2/small_deployment.h"

using namespace review;

namespace {

constexpr double kStableWindow = 3;  // s, of the site
constexpr double kOutage = 8;        // s, the longest of the site

/** Returns the body of a look-up, "" when it failed. */
std::string LookUp(const DaemonSpec& daemon) {
  Connection connection(Connection::Connect(daemon.ip, daemon.directory_port));
  if (!connection.is_open()) return "";
  connection.SetReadTimeout(1);
  connection.Send(
      "GET /-/resolve?name=h.example&region=r1&zone=a HTTP/1.1\r\n"
      "Host: h.example\r\n\r\n");
  const auto answer = connection.ReadMessage();
  if (!answer || answer->first_line.find(" 200 ") == std::string::npos) {
    return "";
  }
  return answer->body;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  const bool has_outage = std::string(argv[2]) != "0";
  Record::Open("review/10/record.txt");
  SmallDeployment deployment(64, argv[1]);
  deployment.AddUpstream("i-1", "a", 9, [&](Connection* connection) {
    while (const auto request = connection->ReadMessage()) {
      connection->Send(Success(request->Field("request-id"), "done\n"));
    }
  });
  deployment.store().Put(
      "op/config",
      Manifest(7, Route("get", "h.example", "/get/", "idempotent", 1500, "svc"),
               {"svc"}));
  const std::map<std::string, std::string> bounds = {
      {"stableWindowMs", "3000"}};
  Daemon* steady = deployment.AddDaemon("front-a-1", "a", "r1", bounds);
  Daemon* restarted = deployment.AddDaemon("front-a-2", "a", "r1", bounds);
  Daemon* lost = deployment.AddDaemon("front-b-1", "b", "r1", bounds);
  for (Daemon* daemon : {steady, restarted, lost}) daemon->Start();
  for (Daemon* daemon : {steady, restarted, lost}) {
    if (!daemon->WaitUntilReady(10)) CannotRun("a daemon is not ready");
  }
  SleepFor(5);
  const std::string lost_address =
      lost->spec().ip + ":" + std::to_string(lost->spec().front_port);
  const std::string own_address =
      restarted->spec().ip + ":" + std::to_string(restarted->spec().front_port);
  const double give_up = Elapsed() + 5;
  while (deployment.store().LeaseLeft("gg/members/front-b-1") < 3.8) {
    if (Elapsed() > give_up) CannotRun("no lease is renewed");
    SleepFor(0.01);
  }
  const double outage_at = Elapsed();
  if (has_outage) {
    Record::Line("store: gives no responses; leases pause");
    deployment.store().SetSilent(true);
  }
  SleepFor(0.5);
  lost->Signal(SIGKILL);  // and doesn't come back
  const double lost_at = Elapsed();
  SleepFor(1.5);
  restarted->Signal(SIGKILL);
  if (!restarted->WaitForEnd(5)) CannotRun("a daemon can't be killed");
  SleepFor(0.5);
  restarted->Start();
  while (Elapsed() < outage_at + kOutage) SleepFor(0.005);
  const double back_at = Elapsed();
  if (has_outage) {
    deployment.store().SetSilent(false);
    Record::Line("store: is back");
  }
  int wrong = 0;
  int answers = 0;
  while (Elapsed() < back_at + kStableWindow + 4) {
    SleepFor(0.1);
    const std::string body = LookUp(restarted->spec());
    const bool is_in_touch = Elapsed() > back_at + kStableWindow;
    const bool is_long_gone = Elapsed() > lost_at + kStableWindow + 3;
    const bool names_lost = body.find(lost_address) != std::string::npos;
    const bool names_other = body.find(own_address) != std::string::npos;
    Record::Line(std::string("front-a-2 answers ") + body +
                 (names_lost ? " (names front-b-1)" : "") +
                 (is_in_touch ? "" : ", not in touch yet"));
    if (!is_in_touch || body.empty()) continue;
    ++answers;
    if (names_lost && names_other && is_long_gone) ++wrong;
  }
  Conclude(wrong > 3,
           std::to_string(wrong) + " of " + std::to_string(answers) +
               " answers of a daemon in touch name a machine that was gone for "
               "more than stableWindowMs + 3 s");
}
