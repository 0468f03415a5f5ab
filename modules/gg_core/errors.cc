#include "gg_core/errors.h"

#include "absl/strings/cord.h"
#include "absl/strings/str_cat.h"

namespace greengage {
namespace {

constexpr std::string_view kStepPayload = "greengage/step";
constexpr std::string_view kPeerPayload = "greengage/peer";

std::string Payload(const absl::Status& status, std::string_view url) {
  const auto payload = status.GetPayload({url.data(), url.size()});
  if (!payload.has_value()) return "";
  return std::string(*payload);
}

}  // namespace

absl::Status StepError(absl::StatusCode code, Step step, std::string_view peer,
                       std::string_view what) {
  const std::string_view name = kStepNames.Name(step);
  absl::Status status(
      code, absl::StrCat("step=", std::string(name),
                         " peer=", std::string(peer), ": ", std::string(what)));
  status.SetPayload({kStepPayload.data(), kStepPayload.size()},
                    absl::Cord(std::string(name)));
  status.SetPayload({kPeerPayload.data(), kPeerPayload.size()},
                    absl::Cord(std::string(peer)));
  return status;
}

std::string ErrorStep(const absl::Status& status) {
  return Payload(status, kStepPayload);
}

std::string ErrorPeer(const absl::Status& status) {
  return Payload(status, kPeerPayload);
}

}  // namespace greengage
