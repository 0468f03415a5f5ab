#ifndef GG_CORE_TENANT_LOAD_REPORT_H_
#define GG_CORE_TENANT_LOAD_REPORT_H_

#include <cstdint>
#include <map>

namespace greengage {

/** What a daemon tells the others about the requests of one tenant. */
struct TenantLoadReport {
  double demand = 0;     // requests per second that callers send
  int recent_sends = 0;  // admitted requests in the limit's window
};

/** Reports of a daemon on all tenants with demand or recent requests. */
struct TenantLoadReports {
  /** Milliseconds since the sender's start, at least 1 and never the same
     twice; 0: the sender reports no tenants. Tells how long a set was under
     way, and which of two sets is older. */
  uint32_t sent_at_ms = 0;
  std::map<uint32_t, TenantLoadReport> tenants;  // by hash of the name
};

}  // namespace greengage

#endif  // GG_CORE_TENANT_LOAD_REPORT_H_
