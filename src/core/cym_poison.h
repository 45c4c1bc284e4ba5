/* Poison requests: requests under which backend servers end.  Each attempt at
   such a request costs a server, so it must not be repeated at one server
   after the other, by the entry VM that got it or by callers that send it
   again elsewhere.

   The table stores for the fingerprint of a request the server incarnations
   that ended under it: the request was sent there, the connection ended
   without a byte of an answer, and that incarnation has given no later sign
   of life.  Most of these requests are innocent and only ran at
   the same server, so an answer to the request clears it.

   Suspect: one server ended.  A placer runs one request with the fingerprint
   at a time, the trial, and the others wait for its result.
   Blocked: two servers ended, one of them under a trial.  Several that end at
   once end under many requests that only ran there.  Requests are refused for
   a time, which doubles with each further server; then the next request is a
   trial again.

   An end, once cleared, stays cleared.  So the tables of several placers can
   be merged in any order.  Pure, one thread at a time.  */

#ifndef CYM_POISON_H
#define CYM_POISON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/cy_clock.h"

/* Distinct incarnations that ended, from which a request is blocked: one may
   have ended for another reason.  */
#define CYM_POISON_BLOCK_COUNT 2

/* First time for which a request is blocked, s, and how often it doubles.
   With three regions a trial costs three servers at most, so seven or eight
   servers end in the first two minutes and three in each 8 minutes after. */
#define CYM_POISON_BLOCK_S       30
#define CYM_POISON_DOUBLINGS_MAX 4

/* Time after the latest end of a server for which a fingerprint is kept, s:
   longer than the longest block.  */
#define CYM_POISON_KEPT_S 900

/* Fingerprints kept, and ends kept of one.  The loss of a zone leaves one
   fingerprint for each slot in use there.  */
#define CYM_POISON_ENTRIES_MAX 1024
#define CYM_POISON_ENDS_MAX    8

/* Time for which a change is reported again with each full report, s: several
   heartbeats of the control VMs.  Blocked requests are always reported.  */
#define CYM_POISON_RESEND_S 2

/* Longest time that a message takes from one VM to another, ms: an answer that
   arrives so much later than the end of a server was not sent before it.  */
#define CYM_POISON_WAY_MS 150

enum cym_poison_state
{
  CYM_POISON_NONE,
  CYM_POISON_SUSPECT,
  CYM_POISON_BLOCKED
};

/* What may be done with a request now.  */
enum cym_poison_verdict
{
  CYM_POISON_PLACE,  /* it may be placed */
  CYM_POISON_WAIT,   /* it waits for the end of the trial */
  CYM_POISON_REFUSE, /* it is blocked */
};

/* The end of one server incarnation under a request.  */
struct cym_poison_end
{
  uint64_t fingerprint; /* hash of the request, never 0 */
  const char *id;       /* of the server */
  uint64_t incarnation;
  bool cleared; /* the request did not end the server */
  bool trial;   /* the request was sent as a trial */
  cy_time_ns at;
};

/* A change of the state of a fingerprint.  */
struct cym_poison_change
{
  uint64_t fingerprint;
  enum cym_poison_state before;
  enum cym_poison_state after;
  unsigned servers;        /* that ended under it */
  cy_time_ns blocked_time; /* rest of the block in ns, 0: none */
  /* What showed it, as passed to the function that changed the state.  */
  const void *cause;
};
typedef void (*cym_poison_fn) (const struct cym_poison_change *change,
                               void *context);

struct cym_poison;

/* ON_CHANGE is called with CONTEXT for every change; NULL: not called.  */
struct cym_poison *cym_poison_create (cym_poison_fn on_change, void *context);
void cym_poison_destroy (struct cym_poison *poison);

/* Records END, which this process observed.  */
void cym_poison_record (struct cym_poison *poison,
                        const struct cym_poison_end *end, const void *cause,
                        cy_time_ns now);

/* Records END, which another placer reported.  True: it was not known.  */
bool cym_poison_merge (struct cym_poison *poison,
                       const struct cym_poison_end *end, const void *cause,
                       cy_time_ns now);

/* Blocks FINGERPRINT until UNTIL, as another placer did.  */
void cym_poison_block (struct cym_poison *poison, uint64_t fingerprint,
                       cy_time_ns until, cy_time_ns now);

/* Clears FINGERPRINT, which a server answered.  */
void cym_poison_clear (struct cym_poison *poison, uint64_t fingerprint,
                       const void *cause, cy_time_ns now);

/* Clears the ends of INCARNATION of server ID that were recorded before
   ALIVE_AT, when it still ran.  */
void cym_poison_clear_server (struct cym_poison *poison, const char *id,
                              uint64_t incarnation, cy_time_ns alive_at,
                              const void *cause, cy_time_ns now);

enum cym_poison_state cym_poison_get_state (const struct cym_poison *poison,
                                            uint64_t fingerprint,
                                            cy_time_ns now);

enum cym_poison_verdict cym_poison_check (const struct cym_poison *poison,
                                          uint64_t fingerprint,
                                          cy_time_ns now);

/* Rest of the block of FINGERPRINT in ns, 0: not blocked.  */
cy_time_ns cym_poison_blocked_time (const struct cym_poison *poison,
                                    uint64_t fingerprint, cy_time_ns now);

/* Starts the trial of FINGERPRINT.  False: the request is not suspect.  */
bool cym_poison_start_trial (struct cym_poison *poison, uint64_t fingerprint,
                             cy_time_ns now);

/* Ends a trial that was started.  */
void cym_poison_end_trial (struct cym_poison *poison, uint64_t fingerprint);

/* True when a change has not been reported yet.  */
bool cym_poison_is_due (const struct cym_poison *poison);

/* Calls EACH for every end to report: those that have not been reported, and
   with FULL also the recent ones and those of blocked requests.  */
typedef void (*cym_poison_end_fn) (const struct cym_poison_end *end,
                                   void *context);
void cym_poison_report (struct cym_poison *poison, bool full, cy_time_ns now,
                        cym_poison_end_fn each, void *context);

/* Number of fingerprints in the table.  */
size_t cym_poison_count (const struct cym_poison *poison);

#endif /* CYM_POISON_H */
