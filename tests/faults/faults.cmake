# The fault matrix as tests: per protocol, each fault once and twice at each step, and some random sequences.
# The pairs take minutes and run with `ctest -C pairs` only.
foreach(protocol call_plain call_stream non_idempotent_call load evict version_switch lease_take_over slot_hand_over
                 configuration_change drain engine_restart)
    add_test(NAME faults.${protocol} COMMAND faultmatrix --protocol ${protocol} --kinds short)
    add_test(NAME faults.pairs.${protocol} COMMAND faultmatrix --protocol ${protocol} --kinds pairs
             CONFIGURATIONS pairs)
endforeach()
add_test(NAME faults.random COMMAND faultmatrix --random 400 --seed 20261202)
# Regression: a change is submitted to an operator's tool that an earlier fault has killed.
add_test(NAME faults.random.killed_operator COMMAND faultmatrix --random 3000 --seed 902177)
# Regression cells found by random search. Failing ones are listed in KNOWN-RED.txt.
function(fault_cell name cell)
    add_test(NAME faults.cell.${name} COMMAND faultmatrix --cell ${cell})
endfunction()
fault_cell(delayed_call_meets_restart "call_plain:call_to_endpoint:2:message_delayed,call_frame:2:engine_restarted")
fault_cell(paused_call_meets_restart
           "non_idempotent_call:call_frame:2:engine_restarted,call_to_endpoint:3:process_paused")
fault_cell(delayed_call_meets_kill "version_switch:call_to_endpoint:2:message_delayed,call_request:5:process_killed")
fault_cell(paused_switch_meets_restart
           "version_switch:call_to_endpoint:8:process_paused,call_to_endpoint:8:engine_restarted")
fault_cell(evicted_under_call
           "drain:call_request:4:process_paused,load_result:2:process_paused,call_request:6:racing_operator")
fault_cell(load_lost_after_kill "load:endpoint_first_byte:7:process_killed,load_order:8:message_lost")
fault_cell(sent_after_leaving "load:load_result:1:process_paused,heartbeat:1:endpoint_leaving")
fault_cell(sent_after_leaving_late "load:load_order:1:endpoint_leaving,load_result:1:process_paused")
fault_cell(long_load_refuses_for_good
           "call_stream:endpoint_first_byte:4:process_paused,endpoint_first_byte:1:process_paused")
fault_cell(long_load_refuses_after_drain
           "drain:endpoint_answer:2:process_paused,endpoint_first_byte:1:process_paused")
fault_cell(yields_for_nobody "load:load_grant:1:message_lost,call_request:2:message_lost")
fault_cell(yields_after_kill "evict:call_frame:2:process_killed")
fault_cell(yields_after_take_over "lease_take_over:load_result:1:process_killed,call_to_endpoint:5:message_delayed")
