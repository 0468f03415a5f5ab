#include "gg_document/document_parser.h"

#include <arpa/inet.h>

#include <charconv>
#include <cmath>
#include <set>

#include "absl/strings/str_cat.h"
#include "gg_core/errors.h"
#include "gg_document/yaml_reader.h"

namespace greengage {
namespace {

constexpr std::string_view kPlatformSection = "platform";
constexpr NumberRange kCountRange{1, 1e9};
constexpr NumberRange kSliceCountRange{1, 4096};
constexpr NumberRange kBytesPerSecondRange{1, 1e13};
constexpr NumberRange kWeightRange{1e-6, 1e6};
constexpr NumberRange kFractionRange{0, 1};
constexpr NumberRange kShiftCapRange{0.001, 1};
constexpr int kMaxPort = 65535;
constexpr int kIpv4AddressBits = 32;
constexpr double kSplitSumTolerance = 1e-6;
constexpr Duration kDefaultLookupTtl = std::chrono::seconds(5);
constexpr Duration kDefaultColdStart = std::chrono::seconds(30);
constexpr Duration kMaxLookupTtl = std::chrono::minutes(5);
constexpr Duration kMinShiftWindow = std::chrono::seconds(1);
constexpr int64_t kDefaultBodyLimitBytes = 1'000'000;

/** Section that owns each name which must be unique within the document. */
struct NameOwners {
  std::map<std::string, std::string> hosts;      // Host header -> section
  std::map<std::string, std::string> addresses;  // target address -> section
};

std::optional<uint32_t> ParseIpv4(const std::string& text) {
  in_addr parsed{};
  if (inet_pton(AF_INET, text.c_str(), &parsed) != 1) return std::nullopt;
  return ntohl(parsed.s_addr);
}

bool IsIpv4Endpoint(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos || !ParseIpv4(text.substr(0, colon))) {
    return false;
  }
  const std::string_view digits = std::string_view(text).substr(colon + 1);
  int port = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  return error == std::errc() && end == digits.data() + digits.size() &&
         port > 0 && port <= kMaxPort;
}

/** Records `section` as the owner of `name`. Adds a problem at `reader` when
    the name already has an owner. */
void RegisterName(const YamlReader& reader, const std::string& name,
                  const std::string& section,
                  std::map<std::string, std::string>* owners) {
  const auto [entry, is_new] = owners->emplace(name, section);
  if (is_new) return;
  reader.AddProblem(absl::StrCat("'", name, "' already belongs to section '",
                                 entry->second, "'"),
                    "list only names that this section's team owns, each once");
}

AddressBlockSpec ReadBlock(const YamlReader& item) {
  AddressBlockSpec block;
  if (!item.CheckKeys({"block", "region"})) return block;
  const YamlReader reader = item.Child("block");
  const std::string text =
      reader.RequiredString("write a block such as 10.1.0.0/16");
  const size_t slash = text.find('/');
  const auto network = ParseIpv4(text.substr(0, slash));
  const std::string length =
      slash == std::string::npos ? "32" : text.substr(slash + 1);
  const bool is_number =
      !length.empty() && length.size() <= 2 &&
      length.find_first_not_of("0123456789") == std::string::npos;
  if (!network || !is_number || std::stoi(length) > kIpv4AddressBits) {
    reader.AddProblem("not an IPv4 address block",
                      "write a block such as 10.1.0.0/16");
    return block;
  }
  block.network = *network;
  block.prefix_length = std::stoi(length);
  block.region = item.Child("region").RequiredString("name a region");
  return block;
}

void ReadRegions(const YamlReader& regions, Document* document) {
  if (!regions.is_present()) {
    regions.AddProblem("missing", "list every region with capacity and zones");
  }
  std::set<std::string> zones;
  for (const auto& [name, value] : regions.Entries()) {
    if (!value.CheckKeys({"capacity", "zones"})) continue;
    RegionSpec region{.name = name};
    region.capacity = value.Child("capacity").RequiredInteger(kCountRange);
    region.zones = value.Child("zones").Strings();
    if (region.zones.empty()) {
      value.AddProblem("no availability zone",
                       "list at least one under 'zones'");
    }
    for (const std::string& zone : region.zones) {
      if (zones.insert(zone).second) continue;
      value.AddProblem(absl::StrCat("duplicate availability zone '", zone, "'"),
                       "list each zone under one region only");
    }
    document->regions.push_back(std::move(region));
  }
}

void CheckRegionExists(const YamlReader& reader, const std::string& name,
                       const Document& document) {
  if (document.FindRegion(name) != nullptr) return;
  reader.AddProblem(absl::StrCat("unknown region '", name, "'"),
                    "use a region of platform.regions");
}

void ReadPlatform(const YamlReader& platform, Document* document) {
  if (!platform.CheckKeys(
          {"owner", "deployment", "slices", "regions", "links", "blocks"})) {
    return;
  }
  document->platform_owner =
      platform.Child("owner").RequiredString("name the owning team");
  document->deployment =
      platform.Child("deployment").RequiredString("name the deployment");
  document->slices = platform.Child("slices").RequiredInteger(kSliceCountRange);
  ReadRegions(platform.Child("regions"), document);
  for (const YamlReader& item : platform.Child("links").Items()) {
    if (!item.CheckKeys({"from", "to", "bytes_per_second"})) continue;
    LinkSpec link;
    link.from = item.Child("from").RequiredString("name a region");
    link.to = item.Child("to").RequiredString("name a region");
    link.bytes_per_second =
        item.Child("bytes_per_second").RequiredInteger(kBytesPerSecondRange);
    CheckRegionExists(item.Child("from"), link.from, *document);
    CheckRegionExists(item.Child("to"), link.to, *document);
    if (document->FindLink(link.from, link.to) != nullptr) {
      item.AddProblem("duplicate link", "keep one entry per direction");
    }
    document->links.push_back(std::move(link));
  }
  for (const YamlReader& item : platform.Child("blocks").Items()) {
    document->blocks.push_back(ReadBlock(item));
    CheckRegionExists(item.Child("region"), document->blocks.back().region,
                      *document);
  }
}

TargetSpec ReadTarget(const YamlReader& item, const std::string& section,
                      const Document& document, NameOwners* owners) {
  TargetSpec target;
  if (!item.CheckKeys(
          {"name", "address", "zone", "slots", "connections", "leaving"})) {
    return target;
  }
  target.name = item.Child("name").RequiredString("name the target");
  target.address = item.Child("address").RequiredString(
      "write an address such as 10.1.2.3:8080");
  if (!IsIpv4Endpoint(target.address)) {
    item.Child("address").AddProblem("not an IPv4 address with port",
                                     "write an address such as 10.1.2.3:8080");
  }
  target.zone = item.Child("zone").RequiredString("name an availability zone");
  if (document.RegionOfZone(target.zone).empty()) {
    item.Child("zone").AddProblem(
        absl::StrCat("unknown availability zone '", target.zone, "'"),
        "use a zone of platform.regions");
  }
  target.slots = item.Child("slots").RequiredInteger(kCountRange);
  target.connections = item.Child("connections").RequiredInteger(kCountRange);
  target.is_leaving = item.Child("leaving").BooleanOr(false);
  RegisterName(item.Child("address"), target.address, section,
               &owners->addresses);
  return target;
}

RouteSpec ReadRoute(const YamlReader& item) {
  RouteSpec route;
  if (!item.CheckKeys({"method", "path", "kind", "weight", "idempotent",
                       "key_required", "time_limit", "body_limit"})) {
    return route;
  }
  route.method = item.Child("method").RequiredString("write a method, or '*'");
  route.path_prefix =
      item.Child("path").RequiredString("write a path prefix such as /orders");
  route.kind = item.Child("kind").RequiredString("name the kind of request");
  route.weight = item.Child("weight").RequiredNumber(kWeightRange);
  if (!item.Child("idempotent").is_present()) {
    item.Child("idempotent")
        .AddProblem(
            "missing",
            "write true if a request may run more than once, else false");
  }
  route.is_idempotent = item.Child("idempotent").BooleanOr(false);
  route.requires_key = item.Child("key_required").BooleanOr(false);
  if (route.is_idempotent && route.requires_key) {
    item.Child("key_required")
        .AddProblem("an idempotent route needs no key", "remove key_required");
  }
  route.time_limit = item.Child("time_limit").DurationOr(Duration::zero());
  route.body_limit =
      item.Child("body_limit").ByteCountOr(kDefaultBodyLimitBytes);
  return route;
}

/** Returns the regions in which the service has a target. */
std::set<std::string> RegionsWithTargets(const ServiceSpec& service,
                                         const Document& document) {
  std::set<std::string> regions;
  for (const TargetSpec& target : service.targets) {
    regions.emplace(document.RegionOfZone(target.zone));
  }
  return regions;
}

void ReadSplit(const YamlReader& split, const Document& document,
               ServiceSpec* service) {
  const std::set<std::string> regions_with_targets =
      RegionsWithTargets(*service, document);
  for (const auto& [home_region, fractions] : split.Entries()) {
    CheckRegionExists(fractions, home_region, document);
    double sum = 0;
    for (const auto& [region, value] : fractions.Entries()) {
      const double fraction = value.RequiredNumber(kFractionRange);
      CheckRegionExists(value, region, document);
      if (fraction > 0 && regions_with_targets.count(region) == 0) {
        value.AddProblem(
            absl::StrCat("no target of this service in '", region, "'"),
            "set 0 or add a target there");
      }
      const bool crosses_regions = fraction > 0 && region != home_region;
      if (crosses_regions &&
          (document.FindLink(home_region, region) == nullptr ||
           document.FindLink(region, home_region) == nullptr)) {
        value.AddProblem(
            absl::StrCat("no link between '", home_region, "' and '", region,
                         "' in both directions"),
            "add both under platform.links, or set 0");
      }
      service->split[home_region][region] = fraction;
      sum += fraction;
    }
    if (std::abs(sum - 1) > kSplitSumTolerance) {
      fractions.AddProblem(absl::StrCat("fractions add up to ", sum),
                           "make them add up to 1");
    }
  }
  for (const RegionSpec& region : document.regions) {
    if (service->split.count(region.name) != 0) continue;
    if (regions_with_targets.count(region.name) == 0) {
      split.AddProblem(absl::StrCat("no split for home region '", region.name,
                                    "', which has no target of this service"),
                       "add a row that states where its traffic goes");
    }
    service->split[region.name] = {{region.name, 1.0}};
  }
}

void ReadShift(const YamlReader& shift, ServiceSpec* service) {
  if (!shift.CheckKeys({"cap", "window"})) return;
  service->shift.cap = shift.Child("cap").RequiredNumber(kShiftCapRange);
  service->shift.window = shift.Child("window").DurationOr(Duration::zero());
  if (service->shift.window < kMinShiftWindow) {
    shift.Child("window").AddProblem("window too short", "write at least 1s");
  }
}

ServiceSpec ReadService(const std::string& name, const YamlReader& section,
                        const Document& document, NameOwners* owners) {
  ServiceSpec service{.name = name};
  if (!section.CheckKeys({"owner", "hosts", "lookup_ttl", "cold_start", "shift",
                          "split", "targets", "routes"})) {
    return service;
  }
  service.owner = section.Child("owner").RequiredString("name the owning team");
  service.hosts = section.Child("hosts").Strings();
  if (service.hosts.empty()) {
    section.Child("hosts").AddProblem(
        "no Host header value", "list at least one, such as shop.example");
  }
  for (const std::string& host : service.hosts) {
    RegisterName(section.Child("hosts"), host, name, &owners->hosts);
  }
  service.lookup_ttl =
      section.Child("lookup_ttl").DurationOr(kDefaultLookupTtl);
  if (service.lookup_ttl > kMaxLookupTtl) {
    section.Child("lookup_ttl").AddProblem("too long", "write at most 5m");
  }
  service.cold_start =
      section.Child("cold_start").DurationOr(kDefaultColdStart);
  std::set<std::string> names;
  for (const YamlReader& item : section.Child("targets").Items()) {
    service.targets.push_back(ReadTarget(item, name, document, owners));
    if (!names.insert(service.targets.back().name).second) {
      item.AddProblem("duplicate target name",
                      "give each target a unique name");
    }
  }
  if (service.targets.empty()) {
    section.Child("targets").AddProblem("no target", "list at least one");
  }
  for (const YamlReader& item : section.Child("routes").Items()) {
    service.routes.push_back(ReadRoute(item));
  }
  if (service.routes.empty()) {
    section.Child("routes").AddProblem("no route", "list at least one");
  }
  ReadShift(section.Child("shift"), &service);
  ReadSplit(section.Child("split"), document, &service);
  return service;
}

absl::StatusOr<YAML::Node> LoadYaml(const std::string& text) {
  if (text.size() > kMaxDocumentBytes) {
    return StepError(
        absl::StatusCode::kInvalidArgument, Step::kDocumentParse, "document",
        absl::StrCat("document has ", text.size(),
                     " bytes; shorten it to at most ", kMaxDocumentBytes));
  }
  try {
    return YAML::Load(text);
  } catch (const YAML::Exception& error) {
    return StepError(absl::StatusCode::kInvalidArgument, Step::kDocumentParse,
                     "document",
                     absl::StrCat("line ", error.mark.line + 1, ", column ",
                                  error.mark.column + 1, ": ", error.msg,
                                  "; correct the YAML at this location"));
  }
}

}  // namespace

absl::StatusOr<DocumentPtr> ParseDocument(const std::string& text) {
  absl::StatusOr<YAML::Node> root = LoadYaml(text);
  if (!root.ok()) return root.status();
  ProblemList problems;
  auto document = std::make_shared<Document>();
  const YamlReader reader(*root, "", &problems);
  if (!reader.is_present() || !root->IsMap()) {
    reader.AddProblem(
        "the document is not a mapping",
        "write a section 'platform:' and one section per service");
  } else {
    try {
      ReadPlatform(reader.Child(std::string(kPlatformSection)), document.get());
      NameOwners owners;
      std::set<std::string> sections;
      for (const auto& [name, section] : reader.Entries()) {
        if (!sections.insert(name).second) {
          section.AddProblem("duplicate section", "keep one of them");
        }
        if (name == kPlatformSection) continue;
        document->services.push_back(
            ReadService(name, section, *document, &owners));
      }
    } catch (const YAML::Exception& error) {
      problems.Add(error.mark, "document", error.msg,
                   "correct the YAML at this location");
    }
  }
  if (!problems.empty()) {
    return StepError(absl::StatusCode::kInvalidArgument, Step::kDocumentCheck,
                     "document", problems.ToString());
  }
  return DocumentPtr(std::move(document));
}

}  // namespace greengage
