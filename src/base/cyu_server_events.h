/* Log lines about backend servers that several programs write.  Any thread. */

#ifndef CYU_SERVER_EVENTS_H
#define CYU_SERVER_EVENTS_H

#include <stdint.h>

/* Logs that INCARNATION of backend server ID takes PER_S requests per second
   from now on, INFINITY: any number.  REQUEST_ID, which may be NULL, is the
   request whose answer reported it.  Limited to the rate of faults, as a
   server may report another limit with each answer.  */
void cyu_event_server_limit (const char *id, uint64_t incarnation,
                             double per_s, const char *request_id);

#endif /* CYU_SERVER_EVENTS_H */
