Feature: A request runs at most once

  Scenario Outline: Opening packets are repeated while views differ
    Given a network that loses and doubles packets
    When callers keep calling while <change>
    And 40 s pass
    Then every promise holds
    And no request ran twice

    Examples:
      | change                   |
      | nothing                  |
      | vm2 leaves               |
      | a VM joins               |
      | vm2 is killed            |
      | vm2 pauses               |
      | vm2 is replaced in place |
      | targets drain            |
      | weights change           |
      | targets are added        |

  Scenario: Full targets refuse before work
    Given targets that hold two connections each
    When callers open more boards than the targets hold
    And 40 s pass
    Then every promise holds
    And some flows are refused, none of which ran
