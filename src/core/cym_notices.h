/* Notices of backend servers in their answers to one entry VM: the server
   leaves, or it wants no request of this VM for a time.  The VM sends no
   request against a notice, whichever process placed it.  A notice belongs to
   one incarnation of a server.  Pure, one thread at a time.  */

#ifndef CYM_NOTICES_H
#define CYM_NOTICES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/cym_match.h"

/* Time for which the notice of a leaving server is kept, s.  The server ends
   long before.  */
#define CYM_LEAVING_KEPT_S 600

/* Longest pause that a server may ask for, ms; longer ones are shortened.  */
#define CYM_PAUSE_MAX_MS 3600000

/* What the answers of one incarnation asked for.  */
struct cym_notice
{
  bool leaving;
  cy_time_ns paused_until; /* 0: no pause */
  struct cym_limit limit;
};

struct cym_notices;

struct cym_notices *cym_notices_create (void);
void cym_notices_destroy (struct cym_notices *notices);

/* Effect of an answer on the notices.  */
enum cym_notice_change
{
  CYM_NOTICE_UNCHANGED,
  CYM_NOTICE_LEAVING, /* the server was not known to leave */
  CYM_NOTICE_PAUSED   /* the end of the server's pause is later now */
};

/* Records what INCARNATION of server ID reported with an answer at NOW.  A
   later incarnation replaces the notice of an earlier one.  Answers that are
   older than the notice never cancel it.  */
enum cym_notice_change cym_notices_record (struct cym_notices *notices,
                                           const char *id,
                                           uint64_t incarnation,
                                           const struct cym_load *load,
                                           cy_time_ns now);

/* Records the limit PER_S, INFINITY for none, that INCARNATION of server ID
   reported: see cym_limit_record.  Returns true when the limit has changed. */
bool cym_notices_record_limit (struct cym_notices *notices, const char *id,
                               uint64_t incarnation, double per_s,
                               cy_time_ns sent_at, cy_time_ns received_at);

/* Returns the notice of INCARNATION of server ID, an empty one if there is
   none.  */
struct cym_notice cym_notices_get (const struct cym_notices *notices,
                                   const char *id, uint64_t incarnation);

/* False when a notice of INCARNATION of server ID forbids any request at NOW.
   Limits are kept by the placer.  */
bool cym_notices_allow (const struct cym_notices *notices, const char *id,
                        uint64_t incarnation, cy_time_ns now);

/* Calls EACH for every notice in force at NOW.  */
typedef void (*cym_notice_fn) (const char *id, uint64_t incarnation,
                               const struct cym_notice *notice, void *context);
void cym_notices_each (const struct cym_notices *notices, cy_time_ns now,
                       cym_notice_fn each, void *context);

/* Parses the value of a Retry-After header, seconds with an optional fraction,
   into *MS.  Returns false if TEXT is no such number.  */
bool cym_pause_parse (const char *text, uint32_t *ms);

#endif /* CYM_NOTICES_H */
