#ifndef SISKIN_PILOT_SERVANT_H
#define SISKIN_PILOT_SERVANT_H

#include "pilot/pilot.h"

/* Serves the connections to this pilot: tells relays and the group's leader
   what the own engine reports, and carries out the leader's orders there.  */
servant_t *servant_create (pilot_t *pilot, const char *address);
void servant_destroy (servant_t *servant);
void servant_note_asking (servant_t *servant);
void servant_push_report (servant_t *servant, const rank_report_t *report);
uint64_t servant_permitted (const servant_t *servant);
void servant_permit_from (servant_t *servant, uint64_t term);
uint64_t servant_led_term (const servant_t *servant);
void servant_wait_anew (servant_t *servant);
int64_t servant_unled_ms (const servant_t *servant);
const char *servant_address (const servant_t *servant);

#endif
