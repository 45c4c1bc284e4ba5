/* Binary delta between the texts of two declarations, for VMs that hold the
   older text: a list of segments, each a range of the older text followed by
   new bytes.  The functions have no side effects.  */

#ifndef CYI_DELTA_H
#define CYI_DELTA_H

#include "cy.pb-c.h"
#include "cy_result.h"

/* Fills the segments and the digest of DELTA, from which cyi_delta_apply makes
   TEXT out of BASE.  The segments borrow their new bytes from TEXT;
   cyi_delta_clear frees everything else.  */
void cyi_delta_make (const char *base, const char *text, Cy__Document *delta);
void cyi_delta_clear (Cy__Document *delta);

/* Makes *TEXT, freed by g_free, out of BASE and DELTA.  CY_E_FRAME_MALFORMED
   when a segment lies outside of BASE or the text becomes longer than 16 MiB;
   CY_E_FRAME_CHECKSUM when DELTA was made from another text than BASE.  */
cy_result cyi_delta_apply (const char *base, const Cy__Document *delta,
                           char **text);

#endif /* CYI_DELTA_H */
