#include "gg_steering/document_replica.h"

#include <algorithm>

#include "gg_core/errors.h"
#include "gg_core/hash.h"
#include "gg_document/document_parser.h"

namespace greengage {

DocumentOfferResult DocumentReplica::OfferText(const std::string& text,
                                               uint64_t revision) {
  if (revision <= revision_) return DocumentOfferResult::kStale;
  if (revision == refused_revision_) return DocumentOfferResult::kInvalid;
  return Accept(SplitSections(text), revision);
}

DocumentOfferResult DocumentReplica::OfferUpdate(const DocumentUpdate& update) {
  if (update.revision <= revision_) return DocumentOfferResult::kStale;
  if (update.revision == refused_revision_) {
    return DocumentOfferResult::kInvalid;
  }
  if (update.base_revision > revision_) return DocumentOfferResult::kIncomplete;
  std::vector<SectionText> sections;
  for (const std::string& name : update.order) {
    const SectionText* section = FindSection(update.changed, name);
    if (section == nullptr) section = FindSection(sections_, name);
    if (section == nullptr) return DocumentOfferResult::kIncomplete;
    sections.push_back(*section);
  }
  if (Hash128Hex(JoinSections(sections)) != update.digest) {
    last_error_ = StepError(absl::StatusCode::kDataLoss, Step::kPeerFrame,
                            "document", "digest of the update does not match");
    return DocumentOfferResult::kIncomplete;
  }
  return Accept(std::move(sections), update.revision);
}

DocumentUpdate DocumentReplica::UpdateSince(uint64_t have_revision) const {
  DocumentUpdate update{.base_revision = have_revision,
                        .revision = revision_,
                        .digest = Hash128Hex(Text())};
  for (const SectionText& section : sections_) {
    update.order.push_back(section.name);
    if (changed_at_.at(section.name) > have_revision) {
      update.changed.push_back(section);
    }
  }
  return update;
}

DocumentOfferResult DocumentReplica::Accept(std::vector<SectionText> sections,
                                            uint64_t revision) {
  absl::StatusOr<DocumentPtr> parsed = ParseDocument(JoinSections(sections));
  if (!parsed.ok()) {
    refused_revision_ = revision;
    last_error_ = parsed.status();
    return DocumentOfferResult::kInvalid;
  }
  for (const std::string& name : ChangedSections(sections_, sections)) {
    changed_at_[name] = revision;
  }
  sections_ = std::move(sections);
  document_ = *std::move(parsed);
  revision_ = revision;
  return DocumentOfferResult::kAccepted;
}

}  // namespace greengage
