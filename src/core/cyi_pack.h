/* Compression of declarations with zlib, for slow links.  Routes and hosts
   repeat most of their text, and the placements of an entry VM's requests wait
   behind a declaration that is sent on the same link.  */

#ifndef CYI_PACK_H
#define CYI_PACK_H

#include <stdbool.h>

#include "cy.pb-c.h"
#include "cy_result.h"

/* Fills PACKED with the number and the compressed content of DOCUMENT; freed
   by cyi_pack_clear.  Returns false and leaves PACKED unchanged when DOCUMENT
   is too small or too large or does not shrink.  */
bool cyi_pack (const Cy__Document *document, Cy__Document *packed);
void cyi_pack_clear (Cy__Document *packed);

/* Decompresses PACKED into *DOCUMENT, freed by cy__document__free_unpacked.
   CY_E_FRAME_MALFORMED when PACKED holds no document or its size differs from
   the declared one.  */
cy_result cyi_unpack (const Cy__Document *packed, Cy__Document **document);

#endif /* CYI_PACK_H */
