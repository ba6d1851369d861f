#ifndef SISKIN_PILOT_MAP_HISTORY_H
#define SISKIN_PILOT_MAP_HISTORY_H

#include "plugins/placement.h"

#include <talloc.h>

/* The last expert maps that this pilot received.  A leader sends a new map as
   the changes to one of them, which it identifies by its digest.  */
typedef struct map_history map_history_t;

map_history_t *map_history_create (TALLOC_CTX *parent);
void map_history_destroy (map_history_t *history);
/* Adds MAP, which is copied.  */
void map_history_add (map_history_t *history, const placement_map_t *map);
/* Returns the map with SHAPE and DIGEST, which may also be the initial map of
   that shape, or NULL if it is unknown.  It belongs to HISTORY and is valid
   until the next call.  */
const placement_map_t *map_history_find (map_history_t *history,
                                         const placement_shape_t *shape,
                                         uint64_t digest);

/* Returns the map that holds the same as PARTIAL on all ranks but EXCEPT,
   which may also be the initial one, or NULL if none is known.  It belongs to
   HISTORY and is valid until the next call.  */
const placement_map_t *map_history_find_except (map_history_t *history,
                                                const placement_map_t *partial,
                                                unsigned except);

#endif
