/* The system's clock and random source for programs.  */

#ifndef CY_SYSTEM_H
#define CY_SYSTEM_H

#include "core/cy_clock.h"

/* Returns the process-wide system clock.  Any thread.  */
const struct cy_clock *cy_system_clock (void);

/* Returns the process-wide random source, seeded by GLib.  Any thread.  */
const struct cy_random *cy_system_random (void);

#endif /* CY_SYSTEM_H */
