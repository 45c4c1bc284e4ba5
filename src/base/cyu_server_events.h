/* Log lines about backend servers that several programs write.  Any thread. */

#ifndef CYU_SERVER_EVENTS_H
#define CYU_SERVER_EVENTS_H

#include <stdbool.h>
#include <stdint.h>

/* Logs that INCARNATION of backend server ID takes PER_S requests per second
   from now on, INFINITY: any number.  REQUEST_ID, which may be NULL, is the
   request whose answer reported it.  Limited to the rate of faults, as a
   server may report another limit with each answer.  */
void cyu_event_server_limit (const char *id, uint64_t incarnation,
                             double per_s, const char *request_id);

/* Logs a change of a poison request: the state from which and to which its
   FINGERPRINT has changed, the SERVERS that ended under it, the rest of the
   block and the request that showed it, which may be NULL.  */
struct cyu_poison_event
{
  uint64_t fingerprint;
  bool was_blocked;
  bool is_blocked;
  bool is_suspect;
  unsigned servers;
  int64_t blocked_ms;
  const char *request_id;
};
void cyu_event_poison (const struct cyu_poison_event *event);

#endif /* CYU_SERVER_EVENTS_H */
