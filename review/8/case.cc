// DENIED, CONFIG: uploads that the newest manifest allows, on connections that
// are older than it.
//
// usage: case8 FOLDER TROUBLE
#include <memory>

#include "../common-2/small_deployment.h"

using namespace review;

namespace {

constexpr int kClients = 12;
constexpr size_t kBodyBytes = 200000;
constexpr int kOldLimit = 100000;
constexpr int kNewLimit = 1000000;

std::string ManifestWithLimit(int version, int max_body_bytes) {
  std::string text =
      Manifest(version, Route("up", "h.example", "/up/", "upload", 2000, "svc"),
               {"svc"});
  const std::string limit = "\"maxBodyBytes\":67108864";
  return text.replace(text.find(limit), limit.size(),
                      "\"maxBodyBytes\":" + std::to_string(max_body_bytes));
}

std::string Upload(const std::string& id, size_t size) {
  return "POST /up/" + id +
         " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: 5000\r\nContent-Length: " + std::to_string(size) +
         "\r\n\r\n" + std::string(size, 'x');
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  const bool has_trouble = std::string(argv[2]) != "0";
  Record::Open("review/8/record.txt");
  SmallDeployment deployment(68, argv[1]);
  deployment.AddUpstream("i-1", "a", 9, [&](Connection* connection) {
    while (const auto request = connection->ReadMessage()) {
      const std::string id = request->Field("request-id");
      deployment.NoteRun(id, *request);
      deployment.NoteAnswered(id);
      connection->Send(Success(id, "stored\n"));
    }
  });
  deployment.store().Put(
      "op/config", ManifestWithLimit(7, has_trouble ? kOldLimit : kNewLimit));
  Daemon* daemon = deployment.AddDaemon("front-a-1", "a", "r1");
  daemon->Start();
  if (!daemon->WaitUntilReady(10)) CannotRun("the daemon is not ready");
  SleepFor(4.5);  // until it is in touch
  int requests = 0;
  int denied = 0;
  const auto send = [&](Connection* connection, const std::string& id,
                        size_t size) {
    ++requests;
    Record::Line("client: sends " + id + " with " + std::to_string(size) +
                 " bytes");
    connection->SetReadTimeout(6);
    connection->Send(Upload(id, size));
    const auto answer = connection->ReadMessage();
    const std::string line =
        answer ? answer->first_line : "a closed connection";
    Record::Line("client: " + id + " gets " + line);
    return line;
  };
  std::vector<std::unique_ptr<Connection>> kept;
  for (int i = 1; i <= kClients; ++i) {
    kept.push_back(std::make_unique<Connection>(
        Connection::Connect(daemon->spec().ip, daemon->spec().front_port)));
    send(kept.back().get(), "first-" + std::to_string(i), 1000);
  }
  if (has_trouble) {
    deployment.store().Put("op/config", ManifestWithLimit(9, kNewLimit));
    Record::Line("operator: version 9 allows bodies of " +
                 std::to_string(kNewLimit) + " bytes, acknowledged");
  }
  SleepFor(5);  // configApplyMs is 2.5 s
  // A new connection shows that the version is in force.
  Connection fresh(
      Connection::Connect(daemon->spec().ip, daemon->spec().front_port));
  const std::string control = send(&fresh, "fresh", kBodyBytes);
  if (control.find(" 200 ") == std::string::npos) {
    CannotRun("the version is not in force on a new connection");
  }
  for (int i = 1; i <= kClients; ++i) {
    const std::string line =
        send(kept[i - 1].get(), "second-" + std::to_string(i), kBodyBytes);
    if (line.find(" 413 ") != std::string::npos) ++denied;
  }
  Conclude(denied > 5 + requests / 500,
           std::to_string(denied) + " of " + std::to_string(requests) +
               " requests were denied, though the version in force for 5 s "
               "allows them; 5 + one in 500 are excused");
}
