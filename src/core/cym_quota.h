/* Rate limits of workspaces, divided among placers that decide without asking
   each other.  Each placer has a part of the token bucket of every workspace.
   The rate and burst of the part are the declared ones times the share of the
   placer, and the shares of all placers add up to at most 1.  A placer that
   lacks tokens receives transfers from others, which no longer have these
   tokens.  Tokens above the burst of a part are lost.  So all placers together
   admit at most rate x time + burst in any window, plus one overdraft each.
   Does no I/O and reads no clock.  Not thread-safe: one thread at a time.  */

#ifndef CYM_QUOTA_H
#define CYM_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "core/cyi_document.h"
#include "core/cym_match.h"

/* Time in ms within which a waiting request may expect its token: tokens that
   arrive in that time count as available for it.  */
#define CYM_TOKEN_WAIT_MS 500

/* Largest overdraft of a placer, in ms of its part of the rate.  */
#define CYM_OVERDRAFT_MS 100

/* A placer requests tokens when it has less than CYM_TOKEN_MINIMUM_MS ms of
   its demand.  It requests CYM_TOKEN_RESERVE_MS ms of demand; a donor keeps
   the tokens for that time of its own demand.  */
#define CYM_TOKEN_RESERVE_MS 500
#define CYM_TOKEN_MINIMUM_MS 250

struct cym_quota;

/* The share is 0 until cym_quota_set_share.  */
struct cym_quota *cym_quota_create (void);

/* Frees QUOTA, which may be NULL.  */
void cym_quota_destroy (struct cym_quota *quota);

/* Sets the workspaces to those of DOCUMENT, with their rates and bursts. FULL:
   no token of a workspace that is new here has been taken by any placer, so
   its bucket starts full; otherwise it starts empty.  */
void cym_quota_declare (struct cym_quota *quota,
                        const struct cyi_document *document, bool full,
                        cy_time_ns now);

/* Sets the share of this placer, 0 to 1.  */
void cym_quota_set_share (struct cym_quota *quota, double share,
                          cy_time_ns now);

/* Takes one token of WORKSPACE.  False: the workspace is over its rate, or
   unknown.  Workspaces without a limit always get one.  */
bool cym_quota_take_token (struct cym_quota *quota, const char *workspace,
                           cy_time_ns now);

/* True when WORKSPACE has a token within CYM_TOKEN_WAIT_MS, besides those for
   WAITING other requests.  A false result counts as demand.  */
bool cym_quota_may_wait (struct cym_quota *quota, const char *workspace,
                         unsigned waiting, cy_time_ns now);

/* Sets the token functions of OPTIONS to those of QUOTA, which must outlive
   the matcher.  */
void cym_quota_attach (struct cym_quota *quota, struct cym_options *options);

/* Expected time until WORKSPACE has a token, ms.  */
uint32_t cym_quota_wait_ms (struct cym_quota *quota, const char *workspace,
                            cy_time_ns now);

/* Calls EACH for every workspace that lacks tokens here, with the number of
   tokens to request from other placers.  */
typedef void (*cym_need_fn) (const char *workspace, double tokens,
                             void *context);
void cym_quota_each_need (struct cym_quota *quota, cy_time_ns now,
                          cym_need_fn each, void *context);

/* Another placer lacks TOKENS of WORKSPACE.  Removes the tokens that this
   placer can spare, at most TOKENS, and returns their number, to be
   transferred.  */
double cym_quota_donate (struct cym_quota *quota, const char *workspace,
                         double tokens, cy_time_ns now);

/* Adds TOKENS that another placer has transferred.  */
void cym_quota_receive (struct cym_quota *quota, const char *workspace,
                        double tokens, cy_time_ns now);

#endif /* CYM_QUOTA_H */
