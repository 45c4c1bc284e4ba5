/* Load generator: starts requests at a rate or in a closed loop, sends each to
   an entry VM and checks that the answer belongs to the request.  All
   functions are called on the thread of the loop.  */

#ifndef CYG_DRIVE_H
#define CYG_DRIVE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "load/cyg_keys.h"
#include "load/cyg_stats.h"
#include "net/cyn_loop.h"

struct cyg_drive;

struct cyg_drive_options
{
  struct cyn_loop *loop;
  const char *lookups; /* entry VMs to send lookups to, "IP:PORT,..." */
  const char *direct;  /* servers to use without a lookup, "IP:PORT,..."; "":
                          lookups are used */
  const char *service;
  const char *path;   /* path below the service, with the query */
  const char *prefix; /* prefix of the request ids */
  const struct cyg_key *keys;
  size_t key_count;
  int64_t requests;     /* number of requests to start, 0: no limit */
  int64_t duration_ms;  /* time in which requests start, 0: no limit */
  int64_t rate;         /* requests/s of all workspaces, 0: closed loop */
  int64_t concurrency;  /* largest number of open requests */
  int64_t post_percent; /* share of POST requests, 0 to 100 */
  int64_t body_bytes;   /* length of the body of a POST request */
  int64_t timeout_ms;   /* deadline of a request */
  int64_t seed;         /* seed of the random number generator */
  bool spread; /* use all entry VMs of a lookup, not only the first one */
  struct cyg_stats *stats;
};

/* Starts the load.  Stops the loop when all requests have been sent and
   answered.  */
struct cyg_drive *cyg_drive_create (const struct cyg_drive_options *options);
void cyg_drive_destroy (struct cyg_drive *drive);

#endif /* CYG_DRIVE_H */
