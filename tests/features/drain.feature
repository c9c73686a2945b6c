Feature: A target that is leaving gets no new flow after a few seconds

  Scenario Outline: Updates reach the VMs evenly or unevenly
    Given a fleet of 8 VMs in three zones
    And 30 open boards of 8 s
    When <trouble>
    And the operator <change> d7
    And 3 s go by with new flows
    And the flows of d7 are counted
    And 7 s go by with new flows
    Then d7 has got no new flow since
    And every flow is whole
    And no request ran twice
    And d7 is said to be empty after its last flow

    Examples:
      | change  | trouble                                |
      | drains  | nothing else happens                   |
      | removes | nothing else happens                   |
      | drains  | z3 is cut off from the platform        |
      | removes | z1 is cut off from the platform        |
      | drains  | the platform answers after 400 ms      |
      | drains  | one in twenty datagrams is lost        |
      | removes | all watches go mute                    |
      | drains  | vm3 is paused for 6 s                  |
      | drains  | the watching VMs of z2 are killed      |

  Scenario: The platform goes down as soon as the change is accepted
    Given a fleet of 8 VMs in three zones
    And 30 open boards of 8 s
    When z2 is cut off from the platform
    And z3 is cut off from the platform
    And the operator drains d7
    And the platform is down
    And 3 s go by with new flows
    And the flows of d7 are counted
    And 7 s go by with new flows
    Then d7 has got no new flow since
    And every flow is whole

  Scenario: A zone that was cut off learns of a drain when it comes back
    Given a fleet of 8 VMs in three zones
    When 2 s go by with new flows
    And z3 is cut off from everything
    And 3 s go by
    And the operator drains d7
    And 20 s go by
    And the network heals
    And 3 s go by with new flows
    And the flows of d7 are counted
    And 4 s go by with new flows
    Then d7 has got no new flow since
    And no VM has gone back

  Scenario: The trail tells when a drained target was empty
    Given a fleet of 8 VMs in three zones
    And 30 open boards of 8 s
    When the operator drains d7
    And one in twenty datagrams is lost
    And 40 s go by
    Then the trail tells that d7 was empty, not before its last flow ended
