Feature: An open flow survives every planned change

  Scenario Outline: One planned change
    Given 40 open flows of 12 s
    When this happens: <change>
    And 14 s pass
    Then all 40 flows are whole
    And every promise holds

    Examples:
      | change            |
      | vm2 leaves        |
      | a VM joins        |
      | targets drain     |
      | weights change    |
      | targets are added |

  Scenario: A rolling replacement of all VMs
    Given 40 open flows of 36 s
    When this happens: all VMs are replaced
    And 10 s pass
    Then all 40 flows are whole
    And every promise holds

  Scenario Outline: Two planned changes at once
    Given 40 open flows of 12 s
    When <first> and <second> at once
    And 14 s pass
    Then all 40 flows are whole
    And every promise holds

    Examples:
      | first             | second            |
      | vm2 leaves        | vm5 leaves        |
      | vm2 leaves        | a VM joins        |
      | vm2 leaves        | targets drain     |
      | vm2 leaves        | weights change    |
      | vm2 leaves        | targets are added |
      | a VM joins        | a VM joins z2     |
      | a VM joins        | targets drain     |
      | a VM joins        | weights change    |
      | a VM joins        | targets are added |
      | targets drain     | weights change    |
      | targets drain     | targets are added |
      | weights change    | targets are added |
