Feature: What is read from a server over urllib3's pools is whole, or has broken off
  # Guards against: plain calls, reports and configurations were read over connections that take a reset
  # for a regular end, and heads and size lines that are cut for whole ones.
  Scenario Outline: An answer that broke off is not read as a whole one
    Given a server whose answer <ending>
    When the answer is read
    Then it has broken off

    Examples:
      | ending                                       |
      | has no length and is reset                   |
      | has a length and is cut inside its head      |
      | is cut after the first digit of a padded size |
      | lacks the blank line after its last chunk    |

  Scenario: A whole answer without length or chunks is read whole
    Given a server whose answer has no length and is whole
    When the answer is read
    Then it is "all of it"
