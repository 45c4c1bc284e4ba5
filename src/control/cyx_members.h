/* The --members setting: "ID=IP:PORT:HTTP_PORT,..." as a member set.  */

#ifndef CYX_MEMBERS_H
#define CYX_MEMBERS_H

#include "cy.pb-c.h"
#include "cy_result.h"

/* Parses TEXT; every member is a voter, an empty TEXT yields an empty set.
   CY_E_SETTING_INVALID after one line on stderr that names the invalid part.
   The caller frees *SET with cy__member_set__free_unpacked.  */
cy_result cyx_members_read (const char *text, Cy__MemberSet **set);

#endif /* CYX_MEMBERS_H */
