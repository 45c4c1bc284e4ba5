/* Deep copies of protobuf messages.  */

#ifndef CY_COPY_H
#define CY_COPY_H

/* Returns a deep copy of MESSAGE, a generated message of any type.  The caller
   frees the copy by the free_unpacked function of that type.  */
void *cy_copy (const void *message);

#endif /* CY_COPY_H */
