Feature: Every VM knows which VMs serve, whatever the platform's list says

  Scenario: The platform's list is wrong both ways
    Given a fleet of 8 VMs in three zones
    When vm2 is killed
    And vm3 is left out of the platform's list
    And vm4 is listed as if it were dead long since
    And 12 s go by
    Then all views agree within 1 s
    And vm3 serves and vm2 does not

  Scenario: A VM that starts is known by the platform's list alone
    Given a fleet of 8 VMs in three zones
    When the VMs of the settings are killed
    And a VM vm9 starts in z1
    And 14 s go by
    Then all views agree within 1 s

  Scenario Outline: A zone is cut off and comes back
    Given a fleet of 8 VMs in three zones
    And 30 open boards of 14 s
    When <cut>
    And <change>
    And <seconds> s go by
    And the network heals
    Then all views agree within 5 s
    And every VM serves with the newest rules
    And no VM has gone back
    And every board ends whole
    And no request ran twice

    Examples:
      | cut                                | change                     | seconds |
      | z1 is cut off from the other zones | nothing else happens       | 8       |
      | z1 is cut off from the platform    | the operator changes the rules | 8   |
      | z1 is cut off from everything      | the operator changes the rules | 8   |
      | z2 is cut off from everything      | nothing else happens       | 3       |
      | nothing from z1 reaches z2         | nothing else happens       | 8       |
      | nothing from z2 reaches z1         | the operator changes the rules | 8   |
      | z1 is cut off from the other zones | the platform is down       | 8       |

  Scenario: VMs on both sides die during a cut
    Given a fleet of 8 VMs in three zones
    When z1 is cut off from everything
    And 3 s go by
    And vm1 is killed
    And vm2 is killed
    And the operator changes the rules
    And 40 s go by
    And the network heals
    Then all views agree within 5 s
    And every VM serves with the newest rules
    And no VM has gone back

  Scenario: A zone that is cut off serves its own targets
    Given a fleet of 8 VMs in three zones
    When z1 is cut off from everything
    And callers reach z1 only
    And 4 s go by
    And new flows are opened for 4 s
    And 4 s go by
    Then flows to targets of z1 are whole
    And no flow was reset

  Scenario: A cut that comes and goes
    Given a fleet of 8 VMs in three zones
    And 30 open boards of 14 s
    When z3 is cut off and back 4 times
    Then all views agree within 5 s
    And every board ends whole

  Scenario: All zones lose each other
    Given a fleet of 8 VMs in three zones
    When z1 is cut off from the other zones
    And z2 is cut off from the other zones
    And 30 s go by
    And the network heals
    Then all views agree within 5 s

  Scenario Outline: A VM comes back as another
    Given a fleet of 8 VMs in three zones
    When vm2 is killed and started anew <how>
    Then all views agree within 6 s

    Examples:
      | how                            |
      | at once                        |
      | with a clock an hour behind    |
      | under another address          |
      | as vm22 under the same address |

  Scenario: A lease ends while its holder is paused
    Given a fleet of 8 VMs in three zones
    When the reporting VM of z1 is paused for 20 s
    And the operator changes the rules
    And 40 s go by
    Then the platform shows the newest rules in force at every VM

  Scenario: Everything sleeps at once
    Given a fleet of 8 VMs in three zones
    When all VMs are paused for 30 s
    And 31 s go by
    Then all views agree within 5 s
    And no VM has gone back
