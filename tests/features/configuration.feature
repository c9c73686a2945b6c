Feature: An accepted configuration is in force everywhere within seconds and stays

  Scenario Outline: In force within three seconds
    Given a fleet of 8 VMs in three zones
    When <trouble>
    And the operator changes the rules
    Then the change is in force within 3 s
    And no VM has gone back

    Examples:
      | trouble                            |
      | nothing else happens               |
      | z3 is cut off from the platform    |
      | the platform answers after 400 ms  |
      | one in twenty datagrams is lost    |
      | all watches go mute                |
      | the watching VMs of z2 are killed  |
      | nothing from z1 reaches z2         |

  Scenario: Only one zone reaches the platform, and then it goes down
    Given a fleet of 8 VMs in three zones
    When z1 is cut off from the platform
    And z2 is cut off from the platform
    And the operator changes the rules
    And the platform is down
    Then the change is in force within 3 s

  Scenario: VMs start during a long outage
    Given a fleet of 8 VMs in three zones
    When the platform is down
    And 30 s go by with new flows
    And a VM vm9 starts in z1
    And a VM vm10 starts in z2
    And vm1 is killed
    And 3 s go by
    Then all views agree within 3 s
    And every VM serves with the newest rules
    And every flow is whole

  Scenario: The whole fleet starts while the platform is down
    Given the platform holds rules and is down
    When 8 VMs start at once
    And 10 s go by
    Then no VM serves
    When the platform is back
    Then every VM serves within 4 s

  Scenario Outline: Older rules are refused
    Given a fleet of 8 VMs in three zones
    When <cause>
    And the operator changes the rules
    And 9 s go by
    And the network heals
    And 3 s go by
    And vm2 offers the first rules again
    Then every VM serves with the newest rules
    And no VM has gone back
    And older rules were refused and logged

    Examples:
      | cause                           |
      | vm2 is paused for 6 s           |
      | z2 is cut off from everything   |
      | z2 is cut off from the platform |

  Scenario Outline: The store goes back to an older copy
    Given a fleet of 8 VMs in three zones
    When the store is copied
    And the operator changes the rules
    And 3 s go by
    And <trouble>
    And the store is restored from the copy
    And 4 s go by
    And the platform is back
    And 16 s go by
    Then every VM serves with the newest rules
    And the store holds what is in force
    And no VM has gone back
    When the operator changes the rules
    Then the change is in force within 3 s

    Examples:
      | trouble                           |
      | nothing else happens              |
      | the platform is down              |
      | the platform answers after 500 ms |
      | vm1 is killed                     |

  Scenario: An operator is faster than the repair of a restored store
    Given a fleet of 8 VMs in three zones
    When the store is copied
    And the operator changes the rules
    And 3 s go by
    And the store is restored and an operator is first to change it
    And 4 s go by
    Then all VMs have the same rules in force
    And the store holds what is in force
    And no VM has gone back
    When the operator changes the rules
    Then the change is in force within 3 s

  Scenario Outline: Something else writes under the key
    Given a fleet of 8 VMs in three zones
    When the value in the store becomes <value>
    And a VM vm9 starts in z3
    And 4 s go by
    Then every VM serves with the newest rules
    And the store holds what is in force
    When the operator changes the rules
    Then the change is in force within 3 s

    Examples:
      | value       |
      | not base64  |
      | eJwDAAAAAAE |

  Scenario: A write arrives long after its operator was told it was not accepted
    Given a fleet of 8 VMs in three zones
    When a change is held up for 5 s and reported as not accepted
    And the operator changes the rules
    And 8 s go by
    Then every VM serves with the newest rules
    And the store holds what is in force
    And no VM has gone back

  Scenario: Calls to the store do not grow with the fleet
    Given the calls of 8 VMs and of 64 VMs in 10 s with a change in force within 3 s
    Then the larger fleet makes at most a third more calls
    And both have at most 6 watches
