/* Thread that keeps the journal of departures on disk, so that a slow disk
   delays neither requests nor the replicated log.  Changes that are queued
   while it writes share the next sync.  A full or failed disk is tried again
   every CYC_DEPARTURE_RETRY_MS.  */

#ifndef CYC_DEPARTURE_WRITER_H
#define CYC_DEPARTURE_WRITER_H

#include <glib.h>

#include "net/cyn_loop.h"
#include "store/cyd_journal.h"

#define CYC_DEPARTURE_RETRY_MS 250

struct cyc_departure_writer;

/* Reports in the loop's thread that changes up to TICKET are durable.  */
typedef void (*cyc_departure_written_fn) (uint64_t ticket, void *context);

/* Ticket of what the journal held when the thread started.  */
#define CYC_DEPARTURE_FIRST_TICKET 1

/* Starts the thread, which owns JOURNAL and writes what it holds once more:
   the previous process may have ended before its last sync.  */
struct cyc_departure_writer *
cyc_departure_writer_create (struct cyn_loop *loop,
                             struct cyd_journal *journal,
                             cyc_departure_written_fn written, void *context);

/* Tries once to write what is queued, ends the thread and closes the journal.
   No report is made from then on.  */
void cyc_departure_writer_destroy (struct cyc_departure_writer *writer);

/* Queues the record of server ID, NULL to remove it.  Returns the ticket of
   the change.  Loop's thread.  */
uint64_t cyc_departure_writer_put (struct cyc_departure_writer *writer,
                                   const char *id, GBytes *record);

#endif /* CYC_DEPARTURE_WRITER_H */
