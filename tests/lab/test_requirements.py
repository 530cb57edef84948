from lab.requirements import ROOT, requirements_text


def test_the_deployments_dependencies_are_the_projects():
    assert (ROOT / "requirements.txt").read_text() == requirements_text()
