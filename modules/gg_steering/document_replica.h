#ifndef GG_STEERING_DOCUMENT_REPLICA_H_
#define GG_STEERING_DOCUMENT_REPLICA_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "gg_document/document.h"
#include "gg_document/section_text.h"
#include "gg_steering/peer_message.h"

namespace greengage {

/** What became of a document that was offered. */
enum class DocumentOfferResult {
  kAccepted,    // newer and valid: in force now
  kStale,       // not newer than the one in force
  kInvalid,     // newer but refused; the one in force stays
  kIncomplete,  // an update that does not fit what is here: ask for the whole
};

/** One daemon's copy of the operators' document, section by section.

    The revision never decreases. An invalid revision is remembered, so that it
   is parsed and reported once. One thread at a time. */
class DocumentReplica {
 public:
  //==============================================================================
  /** Offers the whole text, as read from the store. */
  DocumentOfferResult OfferText(const std::string& text, uint64_t revision);

  /** Offers a peer's update. */
  DocumentOfferResult OfferUpdate(const DocumentUpdate& update);

  /** Returns the update that takes a peer from `have_revision` to what is here.
      Sections that may have changed since are included. */
  DocumentUpdate UpdateSince(uint64_t have_revision) const;

  //==============================================================================
  /** Returns the document in force, or nullptr before the first. */
  const DocumentPtr& document() const { return document_; }
  uint64_t revision() const { return revision_; }
  std::string Text() const { return JoinSections(sections_); }

  /** Returns why the last offer was refused. */
  const absl::Status& last_error() const { return last_error_; }

 private:
  DocumentOfferResult Accept(std::vector<SectionText> sections,
                             uint64_t revision);

  std::vector<SectionText> sections_;
  std::map<std::string, uint64_t> changed_at_;  // by section
  DocumentPtr document_;
  uint64_t revision_ = 0;
  uint64_t refused_revision_ = 0;
  absl::Status last_error_;
};

}  // namespace greengage

#endif  // GG_STEERING_DOCUMENT_REPLICA_H_
