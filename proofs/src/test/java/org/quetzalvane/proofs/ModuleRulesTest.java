package org.quetzalvane.proofs;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

/** Rules for the dependencies between modules. */
class ModuleRulesTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.quetzalvane");

    @Test
    void coreDependsOnNoOtherModuleAndNoIoLibrary() {
        noClasses()
                .that()
                .resideInAPackage("org.quetzalvane.core..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.quetzalvane.adapters..",
                        "org.quetzalvane.node..",
                        "org.quetzalvane.cli..",
                        "org.quetzalvane.standins..",
                        "org.quetzalvane.transport..",
                        "org.quetzalvane.platform..",
                        "org.quetzalvane.entry..",
                        "io.netty..",
                        "org.eclipse.jetty..",
                        "java.net..",
                        "java.nio.channels..")
                .check(CLASSES);
    }

    @Test
    void adaptersDependOnNeitherNodeNorCliNorStandIns() {
        noClasses()
                .that()
                .resideInAPackage("org.quetzalvane.adapters..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.quetzalvane.node..", "org.quetzalvane.cli..", "org.quetzalvane.standins..")
                .check(CLASSES);
    }

    @Test
    void transportDependsOnNeitherPlatformNorPolicy() {
        noClasses()
                .that()
                .resideInAPackage("org.quetzalvane.transport..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.quetzalvane.platform..",
                        "org.quetzalvane.entry..",
                        "org.quetzalvane.core.choice..",
                        "org.quetzalvane.core.serve..",
                        "org.quetzalvane.core.residency..")
                .check(CLASSES);
    }

    @Test
    void platformDependsOnNoPolicy() {
        noClasses()
                .that()
                .resideInAPackage("org.quetzalvane.platform..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.quetzalvane.entry..", "org.quetzalvane.core.choice..", "org.quetzalvane.core.team..")
                .check(CLASSES);
    }

    @Test
    void entryHostsUseOneHttpStack() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "org.quetzalvane.transport..", "org.quetzalvane.platform..", "org.quetzalvane.entry..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.eclipse.jetty..", "org.quetzalvane.adapters..")
                .check(CLASSES);
    }

    @Test
    void nodesDoNotDependOnStandIns() {
        noClasses()
                .that()
                .resideInAnyPackage("org.quetzalvane.node..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.quetzalvane.standins..", "org.quetzalvane.cli..")
                .check(CLASSES);
    }

    @Test
    void nodesStartNoProcess() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "org.quetzalvane.core..",
                        "org.quetzalvane.adapters..",
                        "org.quetzalvane.node..",
                        "org.quetzalvane.entry..",
                        "org.quetzalvane.transport..",
                        "org.quetzalvane.platform..")
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(ProcessBuilder.class)
                .check(CLASSES);
    }
}
