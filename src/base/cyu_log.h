/* The log: one line for each event, as text or as JSON, on standard output.
   Lines are put into a ring of fixed size, which a separate thread writes out,
   so a slow reader of standard output delays no other thread.  Lines that do
   not fit into the ring are counted and dropped.  Events that are caused by
   requests are limited to a rate.  Do not log the key of a caller.  Any
   thread.  */

#ifndef CYU_LOG_H
#define CYU_LOG_H

#include <glib.h>
#include <stdint.h>

#include "core/cy_clock.h"

#define CYU_LOG_RING_BYTES (256 << 10) /* bytes, some seconds of lines */

/* Default limits in lines/s of one event; see PROOFS.md.  */
#define CYU_LOG_DETAIL_RATE 10
#define CYU_LOG_FAULT_RATE  50

#define CYU_LOG_STOP_MS 200 /* ms, longest wait for lines at the exit */

/* Class of an event, which decides how it is sampled.  */
enum cyu_event_class
{
  CYU_DETAIL, /* a success: limited to the rate of details */
  CYU_FAULT,  /* a refusal or a failure: limited to the rate of faults */
  CYU_CHANGE  /* a change in the state of the process: never sampled */
};

/* Starts the log on standard output, in JSON or else as text.  Every line
   names PROGRAM, which must stay valid, and VM.  Call once, before other
   threads start.  */
void cyu_log_start (const char *program, const char *vm, gboolean json);

/* Writes to FD instead of standard output from now on.  */
void cyu_log_set_output (int fd);

/* Uses CLOCK instead of the system's clock to limit the lines per second.
   CLOCK must outlive the log.  */
void cyu_log_set_clock (const struct cy_clock *clock);

/* Limits every event of class CYU_DETAIL to DETAILS lines/s and of class
   CYU_FAULT to FAULTS lines/s.  */
void cyu_log_set_limits (int64_t details, int64_t faults);

/* Writes the remaining lines, for at most MS milliseconds, and ends the
   log.  */
void cyu_log_stop (int64_t ms);

/* Logs a message for people: cyu_log (G_LOG_LEVEL_INFO, "entry stops");  */
void cyu_log (GLogLevelFlags level, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/* Returns TRUE when the rate limit of EVENT_CLASS allows a line of event NAME
   now, and counts that line.  Otherwise counts a line that was left out.
   Callers check this before they collect the fields of an event.  */
gboolean cyu_event_wanted (enum cyu_event_class event_class, const char *name);

/* Logs event NAME with fields; FORMAT and the arguments are those of json_pack
   for an object.  NAME must be a string constant.  Call cyu_event_wanted first
   unless EVENT_CLASS is CYU_CHANGE.  */
void cyu_event (enum cyu_event_class event_class, const char *name,
                const char *format, ...);

/* Adds LINE, which ends with a newline, to the output of the log.  */
void cyu_log_print (const char *line);

#endif /* CYU_LOG_H */
