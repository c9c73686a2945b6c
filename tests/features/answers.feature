Feature: Each caller gets the whole answer to its own request

  Scenario Outline: Ports are used again at once on a bad network
    Given a network that loses, doubles and delays packets
    When callers use a few ports again and again while <change>
    And 40 s pass
    Then every promise holds
    And at most <broken> of 100 flows are broken

    Examples:
      | change         | broken |
      | nothing        | 0      |
      | vm2 leaves     | 0      |
      | vm2 is killed  | 1      |
      | targets drain  | 0      |
      | weights change | 0      |
