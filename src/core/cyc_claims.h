/* Addresses that backend servers claim.  Several servers may claim one
   address: a server that ended without a word and its successor, or a server
   and another process that announces its address.  Announcements do not tell
   which of them is there; the one that answers is.  Pure, one thread at a
   time.  */

#ifndef CYC_CLAIMS_H
#define CYC_CLAIMS_H

/* Claims on one address that are kept: a server, its successor, and some more
   of other processes.  */
#define CYC_CLAIMS_MAX 8

struct cyc_instance;
struct cyc_claims;

struct cyc_claims *cyc_claims_create (void);
void cyc_claims_destroy (struct cyc_claims *claims);

/* Adds INSTANCE at its address, sets its field claims.  INSTANCE stays valid
   and keeps its address until it is removed.  */
void cyc_claims_add (struct cyc_claims *claims, struct cyc_instance *instance);

/* Removes INSTANCE, if it is there, and clears its field claims.  */
void cyc_claims_remove (struct cyc_claims *claims,
                        struct cyc_instance *instance);

/* Returns the server that was silent for the longest time among those at the
   address of INSTANCE, without INSTANCE, if they exceed CYC_CLAIMS_MAX; NULL
   otherwise.  */
struct cyc_instance *cyc_claims_excess (const struct cyc_instance *instance);

#endif /* CYC_CLAIMS_H */
