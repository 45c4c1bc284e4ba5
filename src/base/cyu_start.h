/* Steps that all programs take at the start: reading the secret and printing
   the ready line.  */

#ifndef CYU_START_H
#define CYU_START_H

#include <stdint.h>

#include "cy_result.h"

#define CYU_SECRET_MIN_BYTES 16 /* bytes, shortest secret */

/* Reads the secret of the cluster from PATH and strips the white space around
   it.  On an error prints a line that names the setting to stderr and returns
   CY_E_SETTING_INVALID.  The caller frees *SECRET with g_free.  */
cy_result cyu_secret_read (const char *path, char **secret);

/* Prints the line "READY program=... vm=... port=... http=..." to the log.
   Scripts read it to learn that PROGRAM on VM serves, and on which ports.  */
void cyu_ready_print (const char *program, const char *vm, uint16_t port,
                      uint16_t http_port);

#endif /* CYU_START_H */
