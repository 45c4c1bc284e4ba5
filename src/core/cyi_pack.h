/* Declarations deflated for slow links: routes and hosts repeat most of their
   text, and what waits behind a declaration on an entry VM's link are the
   places of its requests.  Pure.  */

#ifndef CYI_PACK_H
#define CYI_PACK_H

#include <stdbool.h>

#include "cy.pb-c.h"
#include "cy_result.h"

/* Fills PACKED with the number and the deflated content of DOCUMENT.  A small
   one is not worth it: false, PACKED is as it was.  cyi_pack_clear frees what
   it holds.  */
bool cyi_pack (const Cy__Document *document, Cy__Document *packed);
void cyi_pack_clear (Cy__Document *packed);

/* Makes *DOCUMENT of PACKED, freed by cy__document__free_unpacked.
   CY_E_FRAME_MALFORMED: it is none, or larger than it says.  */
cy_result cyi_unpack (const Cy__Document *packed, Cy__Document **document);

#endif /* CYI_PACK_H */
