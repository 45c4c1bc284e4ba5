/* Checks the announcements of backend servers before they are reported to the
   zone process.  A name belongs to one process at a time, the one with the
   highest incarnation; that process keeps its address until it restarts or
   its lease ends.  Any thread.  */

#ifndef CYE_ANNOUNCE_H
#define CYE_ANNOUNCE_H

#include <stddef.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "cy.pb-c.h"
#include "cy_result.h"

#define CYE_ANNOUNCE_BYTES_MAX    4096 /* body of one announcement, at most */
#define CYE_ANNOUNCE_LEASE_MIN_MS 300  /* ms, shortest lease */
#define CYE_ANNOUNCE_LEASE_MAX_MS 600000 /* ms, longest lease */

struct cye_announce;

struct cye_announce *cye_announce_create (const char *zone,
                                          const struct cy_clock *clock);
void cye_announce_destroy (struct cye_announce *announce);

/* Parses the LENGTH bytes of JSON at TEXT and claims the name of the backend
   server.  On CY_OK *OBJECT is the soft object to report, which the caller
   frees with cy__object__free_unpacked.  Returns CY_E_ANNOUNCE_INVALID,
   CY_E_ZONE_MISMATCH, or CY_E_EXISTS when another process holds the name.  */
cy_result cye_announce_parse (struct cye_announce *announce, const char *text,
                              size_t length, Cy__Object **object);

#endif /* CYE_ANNOUNCE_H */
